#include "src/platform/store/EtcdStore.h"

#include <string>
#include <utility>

#include "foxtailbarrow/Verdict.h"
#include "src/platform/store/EtcdCodec.h"
#include "src/platform/store/EtcdError.h"
#include "src/platform/store/GatewayJson.h"

namespace foxtailbarrow {

namespace {

/// Fits a page of a thousand values of 64 KB.
constexpr std::size_t kMaxReplyBytes = 64 * kKibibyte * kKibibyte;

/// A listing restarts when its revision has been compacted.
constexpr int kListAttempts = 3;

constexpr unsigned kOk = 200;

net::HttpClientLimits LimitsOf(const EtcdSettings& aSettings)
{
  net::HttpClientLimits limits;
  limits.mMaxBodyBytes = kMaxReplyBytes;
  limits.mConnectTimeout = aSettings.mConnectTimeout;
  return limits;
}

net::HttpRequest MakePost(std::string_view aTarget, const Json::Value& aBody)
{
  net::HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mHeaders.Set("Content-Type", "application/json");
  request.mBody = etcd::WriteLine(aBody);
  return request;
}

bool MayTryNextEndpoint(const absl::Status& aError)
{
  return VerdictOf(aError) == Verdict::NotRun &&
         (absl::IsUnavailable(aError) || absl::IsDeadlineExceeded(aError));
}

bool EndpointFailed(const absl::Status& aError)
{
  return absl::IsUnavailable(aError) || absl::IsDeadlineExceeded(aError);
}

/// Decodes a successful reply. A write whose reply cannot be decoded may have
/// run.
template<typename T>
absl::StatusOr<T> Decoded(StoreCall aCall,
                          const absl::StatusOr<Json::Value>& aReply,
                          absl::StatusOr<T> (*aDecode)(const Json::Value&))
{
  if (!aReply.ok()) {
    return aReply.status();
  }
  absl::StatusOr<T> result = aDecode(*aReply);
  if (result.ok()) {
    return result;
  }
  const Verdict verdict = IsWrite(aCall) && !absl::IsNotFound(result.status())
                            ? Verdict::MayHaveRun
                            : Verdict::NotRun;
  return WithVerdict(result.status(), verdict);
}

} // namespace

EtcdStore::EtcdStore(net::FiberRuntime& aRuntime, EtcdSettings aSettings)
  : mSettings(std::move(aSettings))
  , mClient(aRuntime, LimitsOf(mSettings))
{
}

absl::StatusOr<StoreEntry> EtcdStore::Read(std::string_view aKey)
{
  auto page = Page(StoreCall::Read, KeyRange::Single(aKey), 1, 0);
  if (!page.ok()) {
    return page.status();
  }
  if (page->mEntries.empty()) {
    return WithVerdict(absl::NotFoundError("key not found"), Verdict::NotRun);
  }
  return std::move(page->mEntries.front());
}

absl::StatusOr<StoreListing> EtcdStore::List(std::string_view aPrefix)
{
  absl::StatusOr<StoreListing> listing = ListOnce(aPrefix);
  for (int attempt = 1;
       attempt < kListAttempts && absl::IsOutOfRange(listing.status());
       ++attempt) {
    listing = ListOnce(aPrefix);
  }
  return listing;
}

absl::StatusOr<StoreListing> EtcdStore::ListOnce(std::string_view aPrefix)
{
  StoreListing listing;
  KeyRange range = KeyRange::Prefix(aPrefix);
  for (bool more = true; more;) {
    auto page =
      Page(StoreCall::List, range, mSettings.mPageKeys, listing.mRevision);
    if (!page.ok()) {
      return page.status();
    }
    if (listing.mRevision == 0) {
      listing.mRevision = page->mRevision;
    }
    std::move(page->mEntries.begin(),
              page->mEntries.end(),
              std::back_inserter(listing.mEntries));
    more = page->mMore && !page->mEntries.empty();
    if (more) {
      range.mBegin = listing.mEntries.back().mKey;
      range.mBegin.push_back('\0');
    }
  }
  return listing;
}

absl::StatusOr<KeyValuePage> EtcdStore::Page(StoreCall aCall,
                                             const KeyRange& aRange,
                                             std::size_t aLimit,
                                             Revision aAt)
{
  const Json::Value request = etcd::EncodeRange(aRange, aLimit, aAt);
  return Decoded(
    aCall, Post(aCall, etcd::kRangeTarget, request), etcd::DecodePage);
}

absl::StatusOr<StoreTransactionResult> EtcdStore::Commit(
  const StoreTransaction& aTransaction)
{
  const Json::Value request = etcd::EncodeTransaction(aTransaction);
  return Decoded(StoreCall::Commit,
                 Post(StoreCall::Commit, etcd::kTxnTarget, request),
                 etcd::DecodeTransaction);
}

absl::StatusOr<StoreLease> EtcdStore::GrantLease(Duration aTtl)
{
  const Json::Value request = etcd::EncodeGrant(aTtl);
  return Decoded(StoreCall::GrantLease,
                 Post(StoreCall::GrantLease, etcd::kGrantTarget, request),
                 etcd::DecodeGrant);
}

absl::StatusOr<Duration> EtcdStore::KeepAlive(StoreLease aLease)
{
  const Json::Value request = etcd::EncodeLease(aLease);
  return Decoded(StoreCall::KeepAlive,
                 Post(StoreCall::KeepAlive, etcd::kKeepAliveTarget, request),
                 etcd::DecodeKeepAlive);
}

absl::Status EtcdStore::RevokeLease(StoreLease aLease)
{
  const Json::Value request = etcd::EncodeLease(aLease);
  return Post(StoreCall::RevokeLease, etcd::kRevokeTarget, request).status();
}

absl::Status EtcdStore::Watch(
  std::string_view aPrefix,
  Revision aFrom,
  const std::function<bool(const std::vector<StoreEvent>&)>& aOnEvents)
{
  const std::size_t index = mPreferred.load();
  absl::Status ended;
  const auto onLine = [&](std::string_view aLine) {
    const auto events = etcd::DecodeWatchLine(aLine);
    if (!events.ok()) {
      ended = events.status();
      return false;
    }
    return events->empty() || aOnEvents(*events);
  };
  const absl::Status streamed = mClient.Stream(
    mSettings.mEndpoints[index],
    MakePost(etcd::kWatchTarget,
             etcd::EncodeWatch(KeyRange::Prefix(aPrefix), aFrom)),
    mSettings.mWatchIdleTimeout,
    onLine);
  const absl::Status& status = ended.ok() ? streamed : ended;
  if (EndpointFailed(status)) {
    SwitchFromEndpoint(index);
  }
  return etcd::WithVerdictOfCall(status, StoreCall::Watch);
}

absl::StatusOr<Json::Value> EtcdStore::Post(StoreCall aCall,
                                            std::string_view aTarget,
                                            const Json::Value& aBody)
{
  const net::HttpRequest request = MakePost(aTarget, aBody);
  const Instant deadline = MonotonicNow() + mSettings.mCallTimeout;
  absl::Status error;
  for (std::size_t tried = 0; tried < mSettings.mEndpoints.size(); ++tried) {
    const Duration remaining = deadline - MonotonicNow();
    if (tried > 0 && remaining <= Duration::zero()) {
      break;
    }
    const std::size_t index = mPreferred.load();
    auto reply =
      Attempt(aCall, mSettings.mEndpoints[index], request, remaining);
    if (reply.ok()) {
      return reply;
    }
    error = reply.status();
    if (EndpointFailed(error)) {
      SwitchFromEndpoint(index);
    }
    if (!MayTryNextEndpoint(error)) {
      break;
    }
  }
  return error;
}

absl::StatusOr<Json::Value> EtcdStore::Attempt(StoreCall aCall,
                                               const Endpoint& aEndpoint,
                                               const net::HttpRequest& aRequest,
                                               Duration aTimeout)
{
  const auto reply = mClient.Call(aEndpoint, aRequest, aTimeout);
  if (!reply.ok()) {
    return etcd::WithVerdictOfCall(reply.status(), aCall);
  }
  if (reply->mStatus != kOk) {
    return etcd::ErrorOf(*reply, aCall);
  }
  auto body = etcd::ParseObject(reply->mBody);
  if (!body.ok()) {
    return etcd::WithVerdictOfCall(
      absl::InternalError("the reply of the store is not JSON"), aCall);
  }
  return body;
}

void EtcdStore::SwitchFromEndpoint(std::size_t aIndex)
{
  const std::size_t next = (aIndex + 1) % mSettings.mEndpoints.size();
  mPreferred.compare_exchange_strong(aIndex, next);
}

} // namespace foxtailbarrow
