#pragma once

#include <cstdint>
#include <vector>

#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow {

/// What changed in the contracts after `mFrom` and up to `mThrough`, as known
/// to a process whose newest change is `mNewest` and that knows every change of
/// the store up to `mAsOf`, which is at least `mNewest`.
struct ConfigurationDelta
{
  Revision mFrom = 0;
  Revision mThrough = 0;
  Revision mNewest = 0;
  Revision mAsOf = 0;
  std::uint64_t mDigest = 0; ///< As of mAsOf; ConfigurationView::Digest().
  std::vector<Contract> mContracts;
  std::vector<CustomerId> mRemoved;

  /// Nothing is left for a further delta.
  bool Complete() const { return mThrough >= mNewest; }
};

/// Puts a delta into the reply that carries it, and takes it out again.
void WriteDelta(ConfigurationDelta aDelta, HeartbeatReply& aReply);
ConfigurationDelta ReadDelta(const HeartbeatReply& aReply);

} // namespace foxtailbarrow
