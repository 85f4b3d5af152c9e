#pragma once

#include <atomic>
#include <cstddef>
#include <span>
#include <vector>

#include "absl/status/status.h"

#include "foxtailbarrow/Store.h"
#include "src/core/base/Snapshot.h"
#include "src/core/contract/ConfigurationView.h"

namespace foxtailbarrow {

/// Prefix of the store keys of contract documents, followed by the customer id.
inline constexpr std::string_view kContractPrefix = "/foxtailbarrow/contracts/";

/// Result of applying a listing or events of the store.
struct ConfigurationUpdate
{
  bool mStale = false; ///< Older than what is known; nothing was applied.
  std::vector<CustomerId> mChanged;  ///< Set or removed.
  std::vector<absl::Status> mErrors; ///< Documents that could not be parsed.
};

/// Mirrors the contracts in the store for an entry and answers the agents'
/// heartbeats with the changes that they lack.
///
/// Inputs: listings and watch events of the store, heartbeats. Output: a
/// published ConfigurationView and a ConfigurationDelta for each heartbeat.
///
/// Guarantees: never applies a listing or event older than what it has applied,
/// for a customer or overall; a document that cannot be parsed is reported and
/// the customer's previous contract stays in force; deltas are empty while some
/// agent is known to have a newer change than this entry has read, so that an
/// entry without access to the store cannot revert a restarted agent.
///
/// ApplyListing() and ApplyEvents() must be called from one fiber at a time,
/// the rest from any thread.
class ConfigurationSource
{
public:
  ConfigurationSource();

  /// Applies a listing of all keys under kContractPrefix.
  ConfigurationUpdate ApplyListing(const StoreListing& aListing);

  /// Applies events in revision order, as reported by a watch.
  ConfigurationUpdate ApplyEvents(std::span<const StoreEvent> aEvents);

  /// Contracts in force, for the request path.
  std::shared_ptr<const ConfigurationView> View() const { return mView.Load(); }

  /// The changes that the sender of the heartbeat lacks.
  ConfigurationDelta Answer(const Heartbeat& aHeartbeat,
                            std::size_t aMaxBytes = kMaxDeltaBytes);

  /// True after an agent stated a newer change than this entry has read, until
  /// a listing or event of that revision or later: the caller must list again.
  bool NeedsListing() const { return mNewestStated > mAsOf; }

  /// Store revision up to which the view is complete.
  Revision AsOf() const { return mAsOf; }

private:
  ConfigurationUpdate Finish(ConfigurationUpdate aUpdate,
                             ConfigurationView aView,
                             Revision aAsOf);

  Snapshot<ConfigurationView> mView;
  std::atomic<Revision> mAsOf{ 0 };
  std::atomic<Revision> mNewestStated{ 0 }; ///< Newest stated by any agent.
};

} // namespace foxtailbarrow
