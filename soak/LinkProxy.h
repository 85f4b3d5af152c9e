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
  Slow,       ///< Each chunk of data is delayed by 150 ms.
  Silent,     ///< Nothing is forwarded; connections stay open.
  OneWay,     ///< Data from the server is not forwarded.
  Resets,     ///< Open and new connections are reset.
  OpenSilent, ///< Connections open at this moment stay silent for good; new
              ///< ones pass.
};

/// Forwards TCP connections over loopback and injects network faults without
/// the programs' help. All links of a process share one thread.
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
