#pragma once

#include <functional>
#include <vector>

#include "absl/random/random.h"

#include "apps/entry/ContractTable.h"
#include "apps/entry/ControlContext.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/base/Snapshot.h"
#include "src/core/contract/ConfigurationSource.h"

namespace foxtailbarrow::entry {

/// Follows the contracts in the store by one watch, publishes them to the
/// request threads and hands them on to agents in heartbeat replies. While the
/// store is away the last ones stay in force.
class ContractWatcher
{
public:
  struct Change
  {
    std::vector<Contract> mChanged;
    std::vector<CustomerId> mRemoved;
  };
  using Listener = std::function<void(const Change&)>;

  ContractWatcher(ControlContext& aContext,
                  Snapshot<ContractTable>& aTable,
                  Listener aListener);

  /// Starts the fiber that follows the store.
  void Start();

  /// Adds to the reply what the agent has not seen yet.
  void Contribute(const Heartbeat& aHeartbeat, HeartbeatReply& aReply);

  bool Has(const CustomerId& aCustomer) const;

  /// Revision of the store at which the contracts were complete; 0 = never.
  Revision AsOf() const { return mSource.AsOf(); }

private:
  void Follow();
  void OnUpdate(const ConfigurationUpdate& aUpdate);
  void Publish();

  ControlContext& mContext;
  Snapshot<ContractTable>& mTable;
  Listener mListener;
  ConfigurationSource mSource;
  absl::BitGen mRandom;
};

} // namespace foxtailbarrow::entry
