// A store on real files.
#include "store/file_disk.h"

#include <gtest/gtest.h>

#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

TEST(FileDiskTest, RecordsAreReadBackAndASecondProcessIsRefused) {
  Folder folder;
  {
    FileDisk disk(folder.path);
    Store store(disk, {}, steady_now, 1);
    store.open();
    store.put("a", std::string("\0\xff\n", 3), 0);
    store.commit();
    FileDisk other(folder.path);
    Store second(other, {}, steady_now, 2);
    EXPECT_THROW(second.open(), StoreError);
  }
  FileDisk disk(folder.path);
  Store store(disk, {}, steady_now, 3);
  RecoveryStats found = store.open();
  EXPECT_EQ(found.live_records, 1u);
  EXPECT_EQ(store.get("a")->value, std::string("\0\xff\n", 3));
}

TEST(FileDiskTest, UnusableFolderThrowsDiskError) {
  Folder folder;
  std::string file = folder.path + "/file";
  { std::unique_ptr<File> made = FileDisk(folder.path).create("file"); }
  EXPECT_THROW(FileDisk(file + "/below"), DiskError);
  EXPECT_THROW(FileDisk{file}, DiskError);
}

}  // namespace
}  // namespace myrtlecroft::store
