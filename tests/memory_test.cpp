// What the program holds in memory. Not among the sanitized tests: their allocator keeps what was freed.
#include <iterator>

#include "program_story.h"

namespace myrtlecroft::net {
namespace {

constexpr int kPlannedTenants = 380'000;
constexpr long kMaxBytesATenant = 85;  // its name and quota, its rate and its place in the index

struct MemoryTest : ProgramTest {
  void set_tenants(int count) const {
    std::ifstream in(config);
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::string list;
    for (int i = 0; i < count; ++i) {
      list += std::string(i ? "," : "") + R"({"name":"tenant-)" + std::to_string(i) + R"(","quotaPerS":10})";
    }
    const std::string before = R"("settings":{)";
    text.insert(text.find(before) + before.size(), R"("tenants":[)" + list + "],");
    std::ofstream(config) << text;
  }
  long resident_kb() const {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::atol(line.c_str() + 6);
    }
    return 0;
  }
  // Of a server that has its engine.
  long resident_kb_with(int tenants) {
    write_config(listener_port, free_port());
    set_tenants(tenants);
    start();
    TestSocket engine = engine_up();
    long out = resident_kb();
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    process = 0;
    return out;
  }
};

// They were held twice, and their text a third time.
TEST_F(MemoryTest, TheTenantsOfALargeDeploymentAreHeldOnce) {
  long few = resident_kb_with(2);
  long planned = resident_kb_with(kPlannedTenants);
  ASSERT_GT(few, 0);
  EXPECT_LT((planned - few) * 1024 / kPlannedTenants, kMaxBytesATenant);
}

}  // namespace
}  // namespace myrtlecroft::net
