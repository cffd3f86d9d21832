/// SQLite's file layer with a fault in it, for tests of durability.
///
/// From its nth write, truncation or sync on, so many of them fail; of a failing write half of the
/// data has been written. It is SQLite's default layer while it exists.
#pragma once
#include <sqlite3.h>

#include <cstring>
#include <new>

namespace robinhoist::tests {

/// One at a time; files that were opened through it must be closed before it ends.
class FaultyVfs {
 public:
  FaultyVfs() : real_(sqlite3_vfs_find(nullptr)), vfs_(*real_) {
    vfs_.zName = "faulty";
    vfs_.pAppData = this;
    vfs_.szOsFile = static_cast<int>(sizeof(File)) + real_->szOsFile;
    vfs_.xOpen = [](sqlite3_vfs* vfs, const char* name, sqlite3_file* file, int flags, int* out) {
      auto* self = static_cast<FaultyVfs*>(vfs->pAppData);
      auto* mine = new (file)
          File{{}, self, reinterpret_cast<sqlite3_file*>(reinterpret_cast<File*>(file) + 1)};
      const int code = self->real_->xOpen(self->real_, name, mine->real, flags, out);
      mine->base.pMethods = mine->real->pMethods ? &methods() : nullptr;
      return code;
    };
    sqlite3_vfs_register(&vfs_, 1);
  }
  ~FaultyVfs() {
    sqlite3_vfs_register(real_, 1);
    sqlite3_vfs_unregister(&vfs_);
  }
  FaultyVfs(const FaultyVfs&) = delete;
  FaultyVfs& operator=(const FaultyVfs&) = delete;

  /// Lets the operations from number `first` on fail, `count` of them, and starts counting at 0.
  void fail(int first, int count) {
    first_failure_ = first;
    failures_end_ = first + count;
    seen_ = 0;
  }
  /// How many operations there were since fail().
  int seen() const { return seen_; }

 private:
  struct File {
    sqlite3_file base;
    FaultyVfs* owner;
    sqlite3_file* real;
  };

  /// Counts an operation.
  bool fails() {
    const int number = seen_++;
    return number >= first_failure_ && number < failures_end_;
  }
  /// Hands a call on to the real file.
  template <auto Method, class... Args>
  static int pass(sqlite3_file* file, Args... args) {
    sqlite3_file* real = reinterpret_cast<File*>(file)->real;
    return (real->pMethods->*Method)(real, args...);
  }
  static const sqlite3_io_methods& methods() {
    using M = sqlite3_io_methods;
    static const sqlite3_io_methods made = [] {
      M m{};
      m.iVersion = 2;
      m.xClose = pass<&M::xClose>;
      m.xRead = pass<&M::xRead, void*, int, sqlite3_int64>;
      m.xWrite = [](sqlite3_file* file, const void* data, int size, sqlite3_int64 at) {
        if (!reinterpret_cast<File*>(file)->owner->fails())
          return pass<&M::xWrite>(file, data, size, at);
        pass<&M::xWrite>(file, data, size / 2, at);
        return SQLITE_IOERR_WRITE;
      };
      m.xTruncate = [](sqlite3_file* file, sqlite3_int64 size) {
        return reinterpret_cast<File*>(file)->owner->fails() ? SQLITE_IOERR_TRUNCATE
                                                             : pass<&M::xTruncate>(file, size);
      };
      m.xSync = [](sqlite3_file* file, int flags) {
        return reinterpret_cast<File*>(file)->owner->fails() ? SQLITE_IOERR_FSYNC
                                                             : pass<&M::xSync>(file, flags);
      };
      m.xFileSize = pass<&M::xFileSize, sqlite3_int64*>;
      m.xLock = pass<&M::xLock, int>;
      m.xUnlock = pass<&M::xUnlock, int>;
      m.xCheckReservedLock = pass<&M::xCheckReservedLock, int*>;
      m.xFileControl = pass<&M::xFileControl, int, void*>;
      m.xSectorSize = pass<&M::xSectorSize>;
      m.xDeviceCharacteristics = pass<&M::xDeviceCharacteristics>;
      m.xShmMap = pass<&M::xShmMap, int, int, int, void volatile**>;
      m.xShmLock = pass<&M::xShmLock, int, int, int>;
      m.xShmBarrier = [](sqlite3_file* file) {
        sqlite3_file* real = reinterpret_cast<File*>(file)->real;
        real->pMethods->xShmBarrier(real);
      };
      m.xShmUnmap = pass<&M::xShmUnmap, int>;
      return m;
    }();
    return made;
  }

  sqlite3_vfs* real_;
  sqlite3_vfs vfs_;
  int first_failure_ = -1;
  int failures_end_ = -1;
  int seen_ = 0;
};

}  // namespace robinhoist::tests
