#pragma once

#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "foxtailbarrow/Endpoint.h"
#include "src/net/HttpServer.h"
#include "src/platform/store/KeyValueTable.h"
#include "standins/kv/KvFaults.h"

namespace foxtailbarrow::standin {

/// In-memory stand-in of the key-value store of the users' platform, with its
/// HTTP API. All methods must be called on the single thread of the runtime.
class KvService
{
public:
  static absl::StatusOr<std::unique_ptr<KvService>>
  Start(net::FiberRuntime& aRuntime, const Endpoint& aListen, unsigned aSeed);

  /// Replaces all faults.
  void SetFaults(const KvFaults& aFaults);
  /// Rejects later watches from revisions before the current one.
  void CompactHistory() { mCompactedRevision = mTable.LatestRevision(); }
  /// Writes without a lease or a condition, like an operator.
  void Put(const std::string& aKey, const std::string& aValue);
  /// Deletes a key, like an operator.
  void Remove(const std::string& aKey);

  Endpoint ListeningEndpoint() const { return mServer->ListeningEndpoint(); }
  std::uint64_t Calls() const { return mCalls; }
  /// Those of Calls() that accept an earlier state.
  std::uint64_t SerializableReads() const { return mSerializableReads; }

private:
  KvService(net::FiberRuntime& aRuntime, unsigned aSeed);

  net::HttpResponse Handle(const net::HttpRequest& aRequest);
  net::HttpResponse Route(const net::HttpRequest& aRequest);
  net::HttpResponse Key(std::string_view aQuery);
  net::HttpResponse Range(std::string_view aQuery);
  net::HttpResponse Watch(std::string_view aQuery);
  net::HttpResponse Transaction(const std::string& aBody);
  net::HttpResponse GrantLease(const std::string& aBody);
  net::HttpResponse RenewLease(std::string_view aLease);
  net::HttpResponse RevokeLease(std::string_view aLease);
  bool Chance(double aShare);
  Instant LeaseClock();
  void Expire();

  net::FiberRuntime& mRuntime;
  KeyValueTable mTable;
  KvFaults mFaults;
  std::mt19937 mRandom;
  Revision mCompactedRevision = 0;
  Duration mPaused{}; ///< Total time for which leases were paused.
  Instant mPausedSince{};
  std::uint64_t mCalls = 0;
  std::uint64_t mSerializableReads = 0;
  std::unique_ptr<net::HttpServer> mServer;
};

} // namespace foxtailbarrow::standin
