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

/// Prefix of the store keys that hold contract documents; the customer follows.
inline constexpr std::string_view kContractPrefix = "/foxtailbarrow/contracts/";

/// What a listing or some events of the store brought.
struct ConfigurationUpdate
{
  bool mStale = false; ///< Older than what is known; nothing was applied.
  std::vector<CustomerId> mChanged;  ///< Set or removed, now in force.
  std::vector<absl::Status> mErrors; ///< Documents that could not be read.
};

/// Keeps an entry's contracts after the store and answers the agents'
/// heartbeats with what they miss.
///
/// Inputs: listings and watch events of the store, heartbeats. Output: a
/// published ConfigurationView and a ConfigurationDelta for each heartbeat.
///
/// Promises: never applies a listing or event older than what it has applied,
/// for a customer or overall; a document that cannot be read leaves the
/// customer's former contract in force and is reported; no delta is handed out
/// while some agent is known to have a newer change than this entry has looked
/// for, so an entry that was cut off cannot lead a restarted agent back.
///
/// ApplyListing() and ApplyEvents() from one fiber at a time, the rest from any
/// thread.
class ConfigurationSource
{
public:
  ConfigurationSource();

  /// All keys under kContractPrefix.
  ConfigurationUpdate ApplyListing(const StoreListing& aListing);

  /// In revision order, as a watch reports them.
  ConfigurationUpdate ApplyEvents(std::span<const StoreEvent> aEvents);

  /// Contracts in force, for the request path.
  std::shared_ptr<const ConfigurationView> View() const { return mView.Load(); }

  /// What the sender of the heartbeat misses.
  ConfigurationDelta Answer(const Heartbeat& aHeartbeat,
                            std::size_t aMaxBytes = kMaxDeltaBytes);

  /// True from the moment at which an agent stated a newer change than this
  /// entry has looked for, until a listing or event from then on: list again.
  bool NeedsListing() const { return mNewestStated > mAsOf; }

  /// Revision of the store at which the view was complete.
  Revision AsOf() const { return mAsOf; }

private:
  ConfigurationUpdate Finish(ConfigurationUpdate aUpdate,
                             ConfigurationView aView,
                             Revision aAsOf);

  Snapshot<ConfigurationView> mView;
  std::atomic<Revision> mAsOf{ 0 };
  std::atomic<Revision> mNewestStated{ 0 }; ///< Newest that any agent stated.
};

} // namespace foxtailbarrow
