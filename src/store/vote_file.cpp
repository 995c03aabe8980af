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

// The file: 'mhvotes', the schema (4 bytes), cluster (8) and member (8), the state, and the hash of
// all of these (8).
constexpr std::string_view kMagic = "mhvotes";
constexpr std::size_t kHeaderBytes = 7 + 4 + 8 + 8, kHashBytes = 8;

std::uint64_t ReadInteger(std::string_view bytes, std::size_t at, std::size_t size) {
  encoding::Writer field;  // as a field, so that encoding::Reader can be used
  field.Nested(1, bytes.substr(at, size));
  encoding::Reader reader(field.bytes());
  reader.Next();
  return size == 4 ? reader.Raw<std::uint32_t>() : reader.Raw<std::uint64_t>();
}

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written_bytes = write(fd, bytes.data(), bytes.size());
    if (written_bytes < 0 && errno == EINTR) continue;
    if (written_bytes <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written_bytes));
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
  if (lock_fd_ >= 0) close(lock_fd_);
}

bool VoteFile::Open(const std::string& folder, std::uint64_t cluster, membership::NodeId self,
                    WriteCallback on_written, membership::PersistentVoterState* voter_state,
                    bool* damaged, std::string* error) {
  folder_ = folder;
  cluster_ = cluster;
  self_ = self;
  write_callback_ = std::move(on_written);
  *damaged = false;
  const std::string error_prefix = "cluster store " + folder + ": ";
  if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) {
    return *error = error_prefix + std::strerror(errno), false;
  }
  lock_fd_ = open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_fd_ < 0) return *error = error_prefix + std::strerror(errno), false;
  if (flock(lock_fd_, LOCK_EX | LOCK_NB) != 0)
    return *error = error_prefix + "in use by another process", false;
  const std::string path = folder + "/votes";
  std::ifstream in(path, std::ios::binary);
  if (in) {
    std::stringstream text;
    text << in.rdbuf();
    const std::string bytes = text.str();
    const bool intact = bytes.size() >= kHeaderBytes + kHashBytes && bytes.starts_with(kMagic) &&
                        codec::Hash(std::string_view(bytes).substr(0, bytes.size() - kHashBytes)) ==
                            ReadInteger(bytes, bytes.size() - kHashBytes, 8);
    if (intact) {
      // Only an intact file identifies its owner, and that of another must not be overwritten.
      const std::uint64_t schema = ReadInteger(bytes, 7, 4);
      if (schema > kSchema) {
        return *error = error_prefix + "of schema " + std::to_string(schema) +
                        ", this build reads up to " + std::to_string(kSchema),
               false;
      }
      if (ReadInteger(bytes, 11, 8) != cluster)
        return *error = error_prefix + "of another cluster", false;
      if (ReadInteger(bytes, 19, 8) != self)
        return *error = error_prefix + "of another member", false;
    }
    const auto decoded = intact ? codec::DecodeVoterState(std::string_view(bytes).substr(
                                      kHeaderBytes, bytes.size() - kHeaderBytes - kHashBytes))
                                : std::nullopt;
    if (decoded) {
      *voter_state = *decoded;
    } else {
      *damaged = true;
      if (rename(path.c_str(), (path + ".damaged").c_str()) != 0) {
        return *error = error_prefix + "damaged, and can't be renamed: " + std::strerror(errno),
               false;
      }
    }
  }
  writer_ = std::thread([this] { RunWriter(); });
  return true;
}

void VoteFile::Write(const membership::PersistentVoterState& voter_state, std::uint64_t ticket) {
  encoding::Writer writer;
  writer.Bytes(kMagic);
  writer.Raw(kSchema);
  writer.Raw(cluster_);
  writer.Raw(self_);
  writer.Bytes(codec::Encode(voter_state));
  writer.Raw(codec::Hash(writer.bytes()));
  {
    const std::lock_guard lock(mutex_);
    pending_write_ = {writer.Take(), ticket};
  }
  wake_.notify_one();
}

bool VoteFile::ReplaceFile(const std::string& bytes) const {
  const std::string path = folder_ + "/votes", new_path = path + ".new";
  const int fd = open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  const bool written = WriteAll(fd, bytes) && fdatasync(fd) == 0;
  close(fd);
  if (!written || rename(new_path.c_str(), path.c_str()) != 0) return false;
  const int folder_fd = open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder_fd < 0) return false;
  const bool synced = fsync(folder_fd) == 0;
  close(folder_fd);
  return synced;
}

void VoteFile::RunWriter() {
  while (true) {
    PendingWrite pending;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stop_ || pending_write_.has_value(); });
      if (!pending_write_) return;
      pending = std::move(*pending_write_);
      pending_write_.reset();
    }
    const bool ok = ReplaceFile(pending.bytes);
    write_callback_(pending.ticket, ok);
    if (!ok) return;
  }
}

}  // namespace millethollow::store
