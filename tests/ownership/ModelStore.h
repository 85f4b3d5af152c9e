#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/core/ownership/StoreCommand.h"

namespace foxtailbarrow::test {

/// A model of the platform's store in virtual time, with compare-and-swap,
/// leases and listings.
class ModelStore
{
public:
  /// Applies a call at true time `aNow`.
  StoreResult Apply(const StoreCommand& aCall, Duration aNow);

  std::uint64_t Calls() const { return mCalls; }
  const std::map<std::string, StoreEntry>& Keys() const { return mKeys; }

private:
  StoreResult Run(const GrantLeaseCall& aCall, Duration aNow);
  StoreResult Run(const KeepAliveCall& aCall, Duration aNow);
  StoreResult Run(const RevokeLeaseCall& aCall, Duration aNow);
  StoreResult Run(const ListCall& aCall, Duration aNow);
  StoreResult Run(const CommitCall& aCall, Duration aNow);
  void ExpireLeases(Duration aNow);

  struct Lease
  {
    Duration mTtl{};
    Duration mEnds{};
  };

  std::map<std::string, StoreEntry> mKeys;
  std::map<StoreLease, Lease> mLeases;
  StoreLease mLastLease = 1000;
  Revision mRevision = 1;
  std::uint64_t mCalls = 0;
};

} // namespace foxtailbarrow::test
