// SQLite's file layer with a fault in it: from its nth write, cut or sync on, so many fail, half of
// what they were given having been written. It becomes the default layer while it lives.
#pragma once
#include <sqlite3.h>

#include <cstring>
#include <new>

namespace robinhoist::tests {

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
  void fail(int from, int times) { from_ = from, until_ = from + times, seen_ = 0; }
  int seen() const { return seen_; }

 private:
  struct File {
    sqlite3_file base;
    FaultyVfs* of;
    sqlite3_file* real;
  };
  bool fails() {
    const int now = seen_++;
    return now >= from_ && now < until_;
  }
  template <auto method, class... Args>
  static int pass(sqlite3_file* file, Args... args) {
    sqlite3_file* real = reinterpret_cast<File*>(file)->real;
    return (real->pMethods->*method)(real, args...);
  }
  static const sqlite3_io_methods& methods() {
    using M = sqlite3_io_methods;
    static const sqlite3_io_methods made = [] {
      M m{};
      m.iVersion = 2;
      m.xClose = pass<&M::xClose>;
      m.xRead = pass<&M::xRead, void*, int, sqlite3_int64>;
      m.xWrite = [](sqlite3_file* file, const void* data, int size, sqlite3_int64 at) {
        if (!reinterpret_cast<File*>(file)->of->fails())
          return pass<&M::xWrite>(file, data, size, at);
        pass<&M::xWrite>(file, data, size / 2, at);
        return SQLITE_IOERR_WRITE;
      };
      m.xTruncate = [](sqlite3_file* file, sqlite3_int64 size) {
        return reinterpret_cast<File*>(file)->of->fails() ? SQLITE_IOERR_TRUNCATE
                                                          : pass<&M::xTruncate>(file, size);
      };
      m.xSync = [](sqlite3_file* file, int flags) {
        return reinterpret_cast<File*>(file)->of->fails() ? SQLITE_IOERR_FSYNC
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
  int from_ = -1, until_ = -1, seen_ = 0;
};

}  // namespace robinhoist::tests
