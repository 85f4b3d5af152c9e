#pragma once

#include <cstdint>
#include <vector>

#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow {

/// Contract changes after `mFrom` up to `mThrough`, from a process whose newest
/// change is `mNewest` and that has every change of the store up to `mAsOf`,
/// which is at least `mNewest`.
struct ConfigurationDelta
{
  Revision mFrom = 0;
  Revision mThrough = 0;
  Revision mNewest = 0;
  Revision mAsOf = 0;
  std::uint64_t mDigest = 0; ///< As of mAsOf; ConfigurationView::Digest().
  std::vector<Contract> mContracts;
  std::vector<CustomerId> mRemoved;

  /// True if no further delta is needed.
  bool Complete() const { return mThrough >= mNewest; }
};

/// Writes a delta into a heartbeat reply, and reads it from one.
void WriteDelta(ConfigurationDelta aDelta, HeartbeatReply& aReply);
ConfigurationDelta ReadDelta(const HeartbeatReply& aReply);

} // namespace foxtailbarrow
