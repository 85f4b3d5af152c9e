#include "apps/ctl/ReadFile.h"

#include <cerrno>
#include <cstring>
#include <fstream>

#include "absl/strings/str_cat.h"

namespace foxtailbarrow::ctl {

namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{ 1024 } * 1024;

} // namespace

absl::StatusOr<std::string> ReadFile(const std::string& aPath)
{
  errno = 0;
  std::ifstream file(aPath, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad()) {
    return absl::InvalidArgumentError(
      absl::StrCat("cannot be read: ", std::strerror(errno)));
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return absl::InvalidArgumentError("larger than 1 MiB");
  }
  return text;
}

} // namespace foxtailbarrow::ctl
