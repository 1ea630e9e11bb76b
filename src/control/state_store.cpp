#include "control/state_store.h"

#include <sys/stat.h>

#include <random>
#include <utility>

namespace myrtlecroft::control {
namespace {

const std::string kStateKey = "state";

const std::string& require_folder(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) == 0 && !S_ISDIR(status.st_mode)) throw StateFolderError(path);
  return path;
}

}  // namespace

StateStore::StateStore(const std::string& folder, net::Loop& loop, SaveDone save_done)
    : disk_(require_folder(folder)),
      store_(
          disk_, {}, [&loop] { return loop.now(); }, std::random_device()()),
      save_done_(std::move(save_done)),
      wakeup_(loop.base(), [this] { committer_->deliver_completions(); }) {
  store_.open();
  if (auto record = store_.get(kStateKey)) loaded_ = std::move(record->value);
  committer_ = std::make_unique<store::GroupCommitter>(
      store_, store::CommitterOptions{}, [&loop] { return loop.now(); }, [this] { wakeup_.notify(); });
}

void StateStore::save(const std::string& bytes) {
  saving_ = true;
  committer_->put(kStateKey, bytes, 0, [this](bool durable) {
    saving_ = false;
    save_done_(durable ? SaveResult::kDurable : SaveResult::kFailed);
  });
}

}  // namespace myrtlecroft::control
