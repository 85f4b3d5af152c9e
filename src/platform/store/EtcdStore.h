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
  Duration mCallTimeout = std::chrono::seconds(1); ///< For all attempts.
  Duration mConnectTimeout = std::chrono::milliseconds(300);
  /// A watch without a change for this long is considered broken, because a
  /// dropped connection is not reported.
  Duration mWatchIdleTimeout = std::chrono::seconds(30);
  std::size_t mPageKeys = 1000; ///< Maximum number of keys per page of List().
};

/// Store client for etcd v3's JSON gateway. Callable from fibers of the
/// runtime, on any of its threads.
///
/// One working endpoint is enough: a call that certainly did not run is retried
/// at the next endpoint, and later calls skip the failed endpoint as well. A
/// call over the service's rate limit (ResourceExhausted, NotRun) is not
/// retried. List() reads one page per call, all as of the first page's
/// revision.
class EtcdStore final : public Store
{
public:
  /// `aRuntime` must outlive this object.
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
