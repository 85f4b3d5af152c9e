#include "tests/clients/ProcessProbe.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <arpa/inet.h>

namespace foxtailbarrow::clients {

namespace {

constexpr std::size_t kKilobyte = 1024;

std::string FolderOf(pid_t aProcess)
{
  return "/proc/" + std::to_string(aProcess);
}

/// The address in the notation of /proc/net/tcp.
std::string KernelAddress(const Endpoint& aEndpoint)
{
  char text[sizeof("00000000:0000")];
  std::snprintf(text,
                sizeof(text),
                "%08X:%04X",
                ::inet_addr(aEndpoint.mAddress.c_str()),
                static_cast<unsigned>(aEndpoint.mPort));
  return text;
}

} // namespace

std::size_t PeakMemory(pid_t aProcess)
{
  constexpr std::string_view kPeak = "VmHWM:";
  std::ifstream status(FolderOf(aProcess) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kPeak)) {
      return std::stoul(line.substr(kPeak.size())) * kKilobyte;
    }
  }
  return 0;
}

std::size_t OpenSockets(pid_t aProcess)
{
  std::size_t count = 0;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(FolderOf(aProcess) + "/fd", error)) {
    const std::string target =
      std::filesystem::read_symlink(entry.path(), error).string();
    if (target.starts_with("socket:") || target.starts_with("pipe:")) {
      ++count;
    }
  }
  return count;
}

std::size_t UnreadBytes(const Endpoint& aListening)
{
  constexpr std::string_view kListening = "0A";
  constexpr int kHexadecimal = 16;
  const std::string own = KernelAddress(aListening);
  std::size_t sum = 0;
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues; // Of bytes to send and bytes received, "TX:RX".
    fields >> slot >> local >> remote >> state >> queues;
    if (local == own && state != kListening) {
      sum +=
        std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHexadecimal);
    }
  }
  return sum;
}

} // namespace foxtailbarrow::clients
