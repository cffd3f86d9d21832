/// An SQLite VFS with fault injection, for tests of durability.
///
/// A range of consecutive writes, truncations and syncs fails. A failing write stores the first
/// half of its data. The VFS is SQLite's default VFS while the object exists.
#pragma once
#include <sqlite3.h>

#include <cstring>
#include <new>

namespace robinhoist::tests {

/// Only one instance may exist at a time. Files opened through it must be closed before it is
/// destroyed.
class FaultyVfs {
 public:
  FaultyVfs() : real_(sqlite3_vfs_find(nullptr)), vfs_(*real_) {
    vfs_.zName = "faulty";
    vfs_.pAppData = this;
    vfs_.szOsFile = static_cast<int>(sizeof(File)) + real_->szOsFile;
    vfs_.xOpen = [](sqlite3_vfs* vfs, const char* name, sqlite3_file* file, int flags, int* out) {
      auto* self = static_cast<FaultyVfs*>(vfs->pAppData);
      auto* wrapped = new (file)
          File{{}, self, reinterpret_cast<sqlite3_file*>(reinterpret_cast<File*>(file) + 1)};
      const int code = self->real_->xOpen(self->real_, name, wrapped->real, flags, out);
      wrapped->base.pMethods = wrapped->real->pMethods ? &methods() : nullptr;
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

  /// Makes `count` operations fail, beginning with number `first`, and restarts counting at 0.
  void fail(int first, int count) {
    first_failure_ = first;
    failures_end_ = first + count;
    operations_ = 0;
  }
  /// The number of operations since fail().
  int operations() const { return operations_; }

 private:
  struct File {
    sqlite3_file base;
    FaultyVfs* owner;
    sqlite3_file* real;
  };

  /// Counts an operation and returns whether it must fail.
  bool fails() {
    const int number = operations_++;
    return number >= first_failure_ && number < failures_end_;
  }
  /// Forwards a call to the real file.
  template <auto Method, class... Args>
  static int forward(sqlite3_file* file, Args... args) {
    sqlite3_file* real = reinterpret_cast<File*>(file)->real;
    return (real->pMethods->*Method)(real, args...);
  }
  static const sqlite3_io_methods& methods() {
    using M = sqlite3_io_methods;
    static const sqlite3_io_methods instance = [] {
      M m{};
      m.iVersion = 2;
      m.xClose = forward<&M::xClose>;
      m.xRead = forward<&M::xRead, void*, int, sqlite3_int64>;
      m.xWrite = [](sqlite3_file* file, const void* data, int size, sqlite3_int64 at) {
        if (!reinterpret_cast<File*>(file)->owner->fails())
          return forward<&M::xWrite>(file, data, size, at);
        forward<&M::xWrite>(file, data, size / 2, at);
        return SQLITE_IOERR_WRITE;
      };
      m.xTruncate = [](sqlite3_file* file, sqlite3_int64 size) {
        return reinterpret_cast<File*>(file)->owner->fails() ? SQLITE_IOERR_TRUNCATE
                                                             : forward<&M::xTruncate>(file, size);
      };
      m.xSync = [](sqlite3_file* file, int flags) {
        return reinterpret_cast<File*>(file)->owner->fails() ? SQLITE_IOERR_FSYNC
                                                             : forward<&M::xSync>(file, flags);
      };
      m.xFileSize = forward<&M::xFileSize, sqlite3_int64*>;
      m.xLock = forward<&M::xLock, int>;
      m.xUnlock = forward<&M::xUnlock, int>;
      m.xCheckReservedLock = forward<&M::xCheckReservedLock, int*>;
      m.xFileControl = forward<&M::xFileControl, int, void*>;
      m.xSectorSize = forward<&M::xSectorSize>;
      m.xDeviceCharacteristics = forward<&M::xDeviceCharacteristics>;
      m.xShmMap = forward<&M::xShmMap, int, int, int, void volatile**>;
      m.xShmLock = forward<&M::xShmLock, int, int, int>;
      m.xShmBarrier = [](sqlite3_file* file) {
        sqlite3_file* real = reinterpret_cast<File*>(file)->real;
        real->pMethods->xShmBarrier(real);
      };
      m.xShmUnmap = forward<&M::xShmUnmap, int>;
      return m;
    }();
    return instance;
  }

  sqlite3_vfs* real_;
  sqlite3_vfs vfs_;
  int first_failure_ = -1;
  int failures_end_ = -1;
  int operations_ = 0;
};

}  // namespace robinhoist::tests
