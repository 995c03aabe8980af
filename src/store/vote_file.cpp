#include "store/vote_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "codec/membership.h"
#include "encoding/fields.h"

namespace millethollow::store {
namespace {

// The file: 'mhvotes', schema (4), cluster (8), member (8), the votes, and the hash of all that
// (8).
constexpr std::string_view kMark = "mhvotes";
constexpr std::size_t kHead = 7 + 4 + 8 + 8, kTail = 8;

std::uint64_t Word(std::string_view bytes, std::size_t at, std::size_t size) {
  encoding::Writer framed;  // as a field, so that one reader serves
  framed.Nested(1, bytes.substr(at, size));
  encoding::Reader r(framed.bytes());
  r.Next();
  return size == 4 ? r.Raw<std::uint32_t>() : r.Raw<std::uint64_t>();
}

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace

VoteFile::~VoteFile() {
  if (writer_.joinable()) {
    {
      const std::lock_guard lock(mutex_);
      stop_ = true;
    }
    wake_.notify_one();
    writer_.join();
  }
  if (lock_ >= 0) close(lock_);
}

bool VoteFile::Open(const std::string& folder, std::uint64_t cluster, membership::NodeId self,
                    Written written, membership::PersistentVoterState* votes, bool* damaged,
                    std::string* error) {
  folder_ = folder;
  cluster_ = cluster;
  self_ = self;
  written_ = std::move(written);
  *damaged = false;
  const std::string store = "cluster store " + folder + ": ";
  if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) {
    return *error = store + std::strerror(errno), false;
  }
  lock_ = open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) return *error = store + std::strerror(errno), false;
  if (flock(lock_, LOCK_EX | LOCK_NB) != 0)
    return *error = store + "in use by another process", false;
  const std::string path = folder + "/votes";
  std::ifstream in(path, std::ios::binary);
  if (in) {
    std::stringstream text;
    text << in.rdbuf();
    const std::string bytes = text.str();
    const bool whole = bytes.size() >= kHead + kTail && bytes.starts_with(kMark) &&
                       codec::Hash(std::string_view(bytes).substr(0, bytes.size() - kTail)) ==
                           Word(bytes, bytes.size() - kTail, 8);
    if (whole) {
      // Only a whole file says whose it is; then it is not to be overwritten.
      const std::uint64_t schema = Word(bytes, 7, 4);
      if (schema > kSchema) {
        return *error = store + "of schema " + std::to_string(schema) +
                        ", this build reads up to " + std::to_string(kSchema),
               false;
      }
      if (Word(bytes, 11, 8) != cluster) return *error = store + "of another cluster", false;
      if (Word(bytes, 19, 8) != self) return *error = store + "of another member", false;
    }
    const auto read = whole ? codec::DecodeVoterState(std::string_view(bytes).substr(
                                  kHead, bytes.size() - kHead - kTail))
                            : std::nullopt;
    if (read) {
      *votes = *read;
    } else {
      *damaged = true;
      if (rename(path.c_str(), (path + ".damaged").c_str()) != 0) {
        return *error = store + "damaged, and can't be put aside: " + std::strerror(errno), false;
      }
    }
  }
  writer_ = std::thread([this] { Run(); });
  return true;
}

void VoteFile::Write(const membership::PersistentVoterState& votes, std::uint64_t ticket) {
  encoding::Writer w;
  w.Bytes(kMark);
  w.Raw(kSchema);
  w.Raw(cluster_);
  w.Raw(self_);
  w.Bytes(codec::Encode(votes));
  w.Raw(codec::Hash(w.bytes()));
  {
    const std::lock_guard lock(mutex_);
    job_ = {w.Take(), ticket};
  }
  wake_.notify_one();
}

bool VoteFile::Replace(const std::string& bytes) const {
  const std::string path = folder_ + "/votes", fresh = path + ".new";
  const int fd = open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  const bool written = WriteAll(fd, bytes) && fdatasync(fd) == 0;
  close(fd);
  if (!written || rename(fresh.c_str(), path.c_str()) != 0) return false;
  const int dir = open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (dir < 0) return false;
  const bool kept = fsync(dir) == 0;
  close(dir);
  return kept;
}

void VoteFile::Run() {
  while (true) {
    Job job;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stop_ || job_.has_value(); });
      if (!job_) return;
      job = std::move(*job_);
      job_.reset();
    }
    const bool ok = Replace(job.bytes);
    written_(job.ticket, ok);
    if (!ok) return;
  }
}

}  // namespace millethollow::store
