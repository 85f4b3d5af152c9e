#pragma once

#include <atomic>
#include <cstddef>
#include <vector>

#include <json/value.h>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Store.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpClient.h"
#include "src/platform/store/KeyRange.h"
#include "src/platform/store/KeyValueTable.h"
#include "src/platform/store/StoreCall.h"

namespace foxtailbarrow {

struct EtcdSettings
{
  std::vector<Endpoint> mEndpoints;                ///< At least one.
  Duration mCallTimeout = std::chrono::seconds(1); ///< All attempts together.
  Duration mConnectTimeout = std::chrono::milliseconds(300);
  /// A watch without a change for this long is taken for dead, since a
  /// connection cut on the way shows nothing.
  Duration mWatchIdleTimeout = std::chrono::seconds(30);
  std::size_t mPageKeys = 1000; ///< Most keys read by one call of List().
};

/// Store over etcd v3's JSON gateway. Call it from fibers of the runtime; safe
/// from any of its threads.
///
/// Survives the loss of all endpoints but one: a call goes on to the next
/// endpoint when it certainly did not run at this one, and a failing endpoint
/// is left for the next call as well. A call over the service's rate ceiling
/// (ResourceExhausted, NotRun) is not tried again. List() reads page by page,
/// one counted call a page, all as of the first page's revision.
class EtcdStore final : public Store
{
public:
  /// `aRuntime` outlives this object.
  EtcdStore(net::FiberRuntime& aRuntime, EtcdSettings aSettings);

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override;
  absl::StatusOr<StoreListing> List(std::string_view aPrefix) override;
  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override;
  absl::StatusOr<StoreLease> GrantLease(Duration aTtl) override;
  absl::StatusOr<Duration> KeepAlive(StoreLease aLease) override;
  absl::Status RevokeLease(StoreLease aLease) override;
  absl::Status Watch(std::string_view aPrefix,
                     Revision aFrom,
                     const std::function<bool(const std::vector<StoreEvent>&)>&
                       aOnEvents) override;

private:
  absl::StatusOr<KeyValuePage> Page(StoreCall aCall,
                                    const KeyRange& aRange,
                                    std::size_t aLimit,
                                    Revision aAt);
  absl::StatusOr<StoreListing> ListOnce(std::string_view aPrefix);
  absl::StatusOr<Json::Value> Post(StoreCall aCall,
                                   std::string_view aTarget,
                                   const Json::Value& aBody);
  absl::StatusOr<Json::Value> Attempt(StoreCall aCall,
                                      const Endpoint& aEndpoint,
                                      const net::HttpRequest& aRequest,
                                      Duration aTimeout);
  void SwitchFromEndpoint(std::size_t aIndex);

  const EtcdSettings mSettings;
  net::HttpClient mClient;
  std::atomic<std::size_t> mPreferred = 0; ///< Index of the endpoint in use.
};

} // namespace foxtailbarrow
