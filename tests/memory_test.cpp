// Tests the server program's resident memory. Not run under the sanitizers, whose allocator retains freed
// memory.
#include <iterator>

#include "program_story.h"

namespace myrtlecroft::net {
namespace {

constexpr int kPlannedTenants = 380'000;
constexpr long kMaxBytesPerTenant = 85;  // name, quota, rate and index entry

struct MemoryTest : ProgramTest {
  void set_tenants(int count) const {
    std::ifstream in(config);
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::string tenants;
    for (int i = 0; i < count; ++i) {
      tenants +=
          std::string(i ? "," : "") + R"({"name":"tenant-)" + std::to_string(i) + R"(","quotaPerS":10})";
    }
    const std::string insert_after = R"("settings":{)";
    text.insert(text.find(insert_after) + insert_after.size(), R"("tenants":[)" + tenants + "],");
    std::ofstream(config) << text;
  }
  long resident_kb() const {
    std::ifstream in("/proc/" + std::to_string(server_pid) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::atol(line.c_str() + 6);
    }
    return 0;
  }
  // Returns the resident memory of a server with `tenants` tenants once its engine is connected.
  long resident_kb_with(int tenants) {
    write_config(listener_port, free_port());
    set_tenants(tenants);
    start();
    TestSocket engine = engine_up();
    long resident = resident_kb();
    kill(server_pid, SIGKILL);
    waitpid(server_pid, nullptr, 0);
    server_pid = 0;
    return resident;
  }
};

// Guards against copies of the tenants in memory: there were two of each tenant, and a third of their text.
TEST_F(MemoryTest, TenantsOfALargeDeploymentAreStoredOnce) {
  long kb_with_few_tenants = resident_kb_with(2);
  long kb_with_planned_tenants = resident_kb_with(kPlannedTenants);
  ASSERT_GT(kb_with_few_tenants, 0);
  EXPECT_LT((kb_with_planned_tenants - kb_with_few_tenants) * 1024 / kPlannedTenants, kMaxBytesPerTenant);
}

}  // namespace
}  // namespace myrtlecroft::net
