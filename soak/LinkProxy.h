#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"

namespace foxtailbarrow::soak {

enum class LinkState : std::uint8_t
{
  Passes,
  Slow,       ///< Each piece of data waits 150 ms.
  Silent,     ///< Nothing passes either way; nothing is closed.
  OneWay,     ///< What the server sends does not pass.
  Resets,     ///< Open and new connections are reset.
  OpenSilent, ///< Connections that were open are silent for good.
};

/// A TCP link over loopback that can be harmed from outside the programs which
/// use it. All links of a process share one thread.
class LinkProxy
{
public:
  static absl::StatusOr<std::unique_ptr<LinkProxy>> Start(
    const Endpoint& aListen,
    const Endpoint& aServer);
  ~LinkProxy();

  void Set(LinkState aState);

  struct Impl;

private:
  explicit LinkProxy(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace foxtailbarrow::soak
