#include "control/state_store.h"

#include <sys/stat.h>

#include <random>
#include <stdexcept>
#include <utility>

namespace myrtlecroft::control {
namespace {

const std::string kStateKey = "state";

// What versions before 0.7 kept was one file.
const std::string& folder_at(const std::string& path) {
  struct stat what {};
  if (::stat(path.c_str(), &what) == 0 && !S_ISDIR(what.st_mode)) {
    throw std::runtime_error(
        path +
        " is a file of an earlier version, and a folder is wanted: move it away; without "
        "it deduplicated groups are closed for one window");
  }
  return path;
}

}  // namespace

StateStore::StateStore(const std::string& folder, net::Loop& loop, std::function<void(bool)> told)
    : disk_(folder_at(folder)),
      store_(
          disk_, {}, [&loop] { return loop.now(); }, std::random_device()()),
      told_(std::move(told)),
      wake_(loop.base(), [this] { committer_->deliver_completions(); }) {
  store_.open();
  if (auto record = store_.get(kStateKey)) found_ = std::move(record->value);
  committer_ = std::make_unique<store::GroupCommitter>(
      store_, store::CommitterOptions{}, [&loop] { return loop.now(); }, [this] { wake_.fire(); });
}

void StateStore::keep(const std::string& bytes) {
  busy_ = true;
  committer_->put(kStateKey, bytes, 0, [this](bool durable) {
    busy_ = false;
    told_(durable);
  });
}

}  // namespace myrtlecroft::control
