// FileDisk, and a store on the files of a real file system.
#include "store/file_disk.h"

#include <gtest/gtest.h>

#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

TEST(FileDiskTest, RecordsAreReadBackAndASecondProcessIsRefused) {
  TemporaryFolder folder;
  {
    FileDisk disk(folder.path);
    Store store(disk, {}, steady_now, 1);
    store.open();
    store.put("a", std::string("\0\xff\n", 3), 0);
    store.commit();
    FileDisk second_disk(folder.path);
    Store second_store(second_disk, {}, steady_now, 2);
    EXPECT_THROW(second_store.open(), StoreError);
  }
  FileDisk disk(folder.path);
  Store store(disk, {}, steady_now, 3);
  RecoveryStats recovery_stats = store.open();
  EXPECT_EQ(recovery_stats.live_records, 1u);
  EXPECT_EQ(store.get("a")->value, std::string("\0\xff\n", 3));
}

TEST(FileDiskTest, UnusableFolderThrowsDiskError) {
  TemporaryFolder folder;
  std::string file = folder.path + "/file";
  { std::unique_ptr<File> created = FileDisk(folder.path).create("file"); }
  EXPECT_THROW(FileDisk(file + "/below"), DiskError);
  EXPECT_THROW(FileDisk{file}, DiskError);
}

}  // namespace
}  // namespace myrtlecroft::store
