#include "standins/kv/KvService.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "absl/strings/escaping.h"

#include "platform/WireJson.h"
#include "src/core/message/Json.h"

namespace foxtailbarrow::standin {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kConditionFailed = 412;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kPageItems = 500;
constexpr std::int64_t kAnyNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kMaxText = std::size_t{ 2 } * 1024 * 1024;
constexpr Duration kPollInterval = std::chrono::milliseconds(5);
/// A silent connection is closed after this; all clients time out earlier.
constexpr Duration kSilenceTimeout = std::chrono::seconds(4);

net::HttpResponse Reply(unsigned aStatus, const Json::Value& aBody = {})
{
  net::HttpResponse response;
  response.mStatus = aStatus;
  if (!aBody.isNull()) {
    response.mBody = FormatJson(aBody);
  }
  return response;
}

std::string Decode(std::string_view aText)
{
  constexpr int kHex = 16;
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      int byte = 0;
      std::from_chars(&aText[i + 1], &aText[i + 3], byte, kHex);
      decoded.push_back(static_cast<char>(byte));
      i += 2;
    } else {
      decoded.push_back(aText[i]);
    }
  }
  return decoded;
}

std::string Parameter(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::size_t end = std::min(aQuery.find('&'), aQuery.size());
    const std::string_view pair = aQuery.substr(0, end);
    if (const std::size_t equals = pair.find('=');
        pair.substr(0, equals) == aName) {
      return Decode(pair.substr(equals + 1));
    }
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
  }
  return {};
}

std::int64_t Number(std::string_view aText)
{
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string Encode(const std::string& aValue)
{
  return absl::Base64Escape(aValue);
}

Json::Value Item(const StoreEntry& aEntry)
{
  Json::Value item;
  item["Key"] = aEntry.mKey;
  item["Value"] = Encode(aEntry.mValue);
  item["Revision"] = Json::Int64{ aEntry.mModRevision };
  item["Lease"] = Json::Int64{ aEntry.mLease };
  return item;
}

bool ReadTransaction(const Json::Value& aBody, StoreTransaction& aTransaction)
{
  for (const Json::Value& row : aBody["Expect"]) {
    StoreCompare& compare = aTransaction.mCompares.emplace_back();
    if (!platform::ReadText(row, "Key", kMaxText, compare.mKey) ||
        !platform::ReadNumber(
          row, "Revision", kAnyNumber, compare.mModRevision)) {
      return false;
    }
  }
  for (const Json::Value& row : aBody["Writes"]) {
    StoreWrite& write = aTransaction.mWrites.emplace_back();
    std::string encoded;
    write.mValue.emplace();
    if (!platform::ReadText(row, "Key", kMaxText, write.mKey) ||
        !platform::ReadText(row, "Value", kMaxText, encoded) ||
        !absl::Base64Unescape(encoded, &*write.mValue) ||
        !platform::ReadNumber(row, "Lease", kAnyNumber, write.mLease)) {
      return false;
    }
  }
  for (const Json::Value& key : aBody["Deletes"]) {
    aTransaction.mWrites.push_back({ key.asString(), std::nullopt });
  }
  return true;
}

} // namespace

KvService::KvService(net::FiberRuntime& aRuntime, unsigned aSeed)
  : mRuntime(aRuntime)
  , mRandom(aSeed)
{
}

absl::StatusOr<std::unique_ptr<KvService>> KvService::Start(
  net::FiberRuntime& aRuntime,
  const Endpoint& aListen,
  unsigned aSeed)
{
  std::unique_ptr<KvService> service(new KvService(aRuntime, aSeed));
  auto server = net::HttpServer::Start(
    aRuntime, aListen, [kv = service.get()](net::HttpRequest& aRequest) {
      return kv->Handle(aRequest);
    });
  if (!server.ok()) {
    return server.status();
  }
  service->mServer = *std::move(server);
  return service;
}

Instant KvService::LeaseClock()
{
  return (mPausedSince == Instant{} ? MonotonicNow() : mPausedSince) - mPaused;
}

void KvService::SetFaults(const KvFaults& aFaults)
{
  const bool pause = aFaults.mOutage != KvOutage::None && aFaults.mLeasesPause;
  if (mPausedSince != Instant{} && !pause) {
    mPaused += MonotonicNow() - mPausedSince;
    mPausedSince = {};
  } else if (mPausedSince == Instant{} && pause) {
    mPausedSince = MonotonicNow();
  }
  mFaults = aFaults;
}

void KvService::Put(const std::string& aKey, const std::string& aValue)
{
  StoreTransaction transaction;
  transaction.mWrites.push_back({ aKey, aValue });
  (void)mTable.Commit(transaction);
}

void KvService::Remove(const std::string& aKey)
{
  StoreTransaction transaction;
  transaction.mWrites.push_back({ aKey, std::nullopt });
  (void)mTable.Commit(transaction);
}

bool KvService::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
}

void KvService::Expire()
{
  mTable.Expire(LeaseClock());
}

net::HttpResponse KvService::Handle(const net::HttpRequest& aRequest)
{
  ++mCalls;
  if (const std::size_t query = aRequest.mTarget.find('?');
      query != std::string::npos &&
      Parameter(std::string_view(aRequest.mTarget).substr(query + 1),
                "Serializable") == "1") {
    ++mSerializableReads;
  }
  if (mFaults.mOutage == KvOutage::Refuses) {
    return Reply(kUnavailable);
  }
  if (mFaults.mOutage == KvOutage::Silent) {
    boost::this_fiber::sleep_for(kSilenceTimeout);
    return Reply(net::kCloseWithoutAnswer);
  }
  if (mFaults.mDelay > Duration::zero()) {
    boost::this_fiber::sleep_for(mFaults.mDelay);
  }
  const bool write = aRequest.mMethod != "GET";
  if (write && Chance(mFaults.mLateShare)) {
    mRuntime.Spawn([this, aRequest, late = mFaults.mLateBy] {
      boost::this_fiber::sleep_for(late);
      Route(aRequest);
    });
    boost::this_fiber::sleep_for(kSilenceTimeout);
    return Reply(net::kCloseWithoutAnswer);
  }
  net::HttpResponse response = Route(aRequest);
  if (write && Chance(mFaults.mLoseShare)) {
    boost::this_fiber::sleep_for(kSilenceTimeout);
    return Reply(net::kCloseWithoutAnswer);
  }
  return response;
}

net::HttpResponse KvService::Route(const net::HttpRequest& aRequest)
{
  Expire();
  const std::string_view target = aRequest.mTarget;
  const std::size_t queryStart = std::min(target.find('?'), target.size());
  const std::string_view path = target.substr(0, queryStart);
  const std::string_view query =
    target.substr(std::min(queryStart + 1, target.size()));
  const auto after = [path](std::string_view aPrefix) {
    return path.substr(aPrefix.size());
  };
  if (path == "/kv-key") {
    return Key(query);
  }
  if (path == "/kv-range") {
    return Range(query);
  }
  if (path == "/kv-watch") {
    return Watch(query);
  }
  if (path == "/kv-txn") {
    return Transaction(aRequest.mBody);
  }
  if (path == "/kv-lease") {
    return GrantLease(aRequest.mBody);
  }
  if (path.starts_with("/kv-keep/")) {
    return RenewLease(after("/kv-keep/"));
  }
  if (path.starts_with("/kv-lease-end/")) {
    return RevokeLease(after("/kv-lease-end/"));
  }
  return Reply(kNotFound);
}

net::HttpResponse KvService::Key(std::string_view aQuery)
{
  const auto page =
    mTable.Range(KeyRange::Single(Parameter(aQuery, "Key")), 0, 0);
  if (!page.ok() || page->mEntries.empty()) {
    return Reply(kNotFound);
  }
  Json::Value body = Item(page->mEntries.front());
  body["CurrentRev"] = Json::Int64{ page->mRevision };
  return Reply(kOk, body);
}

net::HttpResponse KvService::Range(std::string_view aQuery)
{
  const std::string after = Parameter(aQuery, "After");
  const auto page =
    mTable.Range(KeyRange::Prefix(Parameter(aQuery, "Prefix")), 0, 0);
  Json::Value body;
  body["items"] = Json::arrayValue;
  body["HasMore"] = false;
  body["CurrentRev"] = Json::Int64{ mTable.LatestRevision() };
  for (const StoreEntry& entry : page->mEntries) {
    if (!after.empty() && entry.mKey <= after) {
      continue;
    }
    if (body["items"].size() == kPageItems) {
      body["HasMore"] = true;
      break;
    }
    body["items"].append(Item(entry));
  }
  return Reply(kOk, body);
}

net::HttpResponse KvService::Watch(std::string_view aQuery)
{
  const KeyRange range = KeyRange::Prefix(Parameter(aQuery, "Prefix"));
  const Revision from = Number(Parameter(aQuery, "After"));
  const Instant end = MonotonicNow() + std::chrono::milliseconds(
                                         Number(Parameter(aQuery, "WaitMs")));
  for (;;) {
    Expire();
    const auto events = mTable.EventsAfter(range, from);
    if (!events.ok() || from < mCompactedRevision || mFaults.mWatchesGone) {
      return Reply(kGone);
    }
    if (!events->empty() || MonotonicNow() >= end) {
      Json::Value body;
      body["events"] = Json::arrayValue;
      for (const StoreEvent& event : *events) {
        Json::Value item;
        item["Key"] = event.mKey;
        item["Revision"] = Json::Int64{ event.mModRevision };
        if (event.mValue) {
          item["Value"] = Encode(*event.mValue);
        } else {
          item["Tombstone"] = true;
        }
        body["events"].append(item);
      }
      body["CurrentRev"] = Json::Int64{ mTable.LatestRevision() };
      return Reply(kOk, body);
    }
    boost::this_fiber::sleep_for(kPollInterval);
    if (mFaults.mOutage != KvOutage::None) {
      return Reply(net::kCloseWithoutAnswer);
    }
  }
}

net::HttpResponse KvService::Transaction(const std::string& aBody)
{
  const auto body = platform::ParseObject(aBody);
  StoreTransaction transaction;
  if (!body.ok() || !ReadTransaction(*body, transaction)) {
    return Reply(kBadRequest);
  }
  const auto result = mTable.Commit(transaction);
  if (!result.ok()) {
    return Reply(absl::IsNotFound(result.status()) ? kNotFound : kBadRequest);
  }
  Json::Value reply;
  if (result->mApplied) {
    reply["Revision"] = Json::Int64{ result->mRevision };
    return Reply(kOk, reply);
  }
  reply["items"] = Json::arrayValue;
  for (const StoreCompare& compare : transaction.mCompares) {
    const auto page = mTable.Range(KeyRange::Single(compare.mKey), 0, 0);
    if (page.ok() && !page->mEntries.empty()) {
      reply["items"].append(Item(page->mEntries.front()));
    }
  }
  return Reply(kConditionFailed, reply);
}

net::HttpResponse KvService::GrantLease(const std::string& aBody)
{
  const auto body = platform::ParseObject(aBody);
  std::int64_t ttlMs = 0;
  if (!body.ok() || !platform::ReadNumber(*body, "TtlMs", kAnyNumber, ttlMs)) {
    return Reply(kBadRequest);
  }
  const auto lease =
    mTable.GrantLease(std::chrono::milliseconds(ttlMs), LeaseClock());
  Json::Value reply;
  reply["Lease"] = Json::Int64{ lease.value_or(0) };
  reply["TtlMs"] = Json::Int64{ ttlMs };
  return lease.ok() ? Reply(kOk, reply) : Reply(kBadRequest);
}

net::HttpResponse KvService::RenewLease(std::string_view aLease)
{
  const auto ttl = mTable.KeepAlive(Number(aLease), LeaseClock());
  Json::Value reply;
  if (ttl.ok()) {
    reply["TtlMs"] = Json::Int64{
      std::chrono::duration_cast<std::chrono::milliseconds>(*ttl).count()
    };
  }
  return ttl.ok() ? Reply(kOk, reply) : Reply(kNotFound);
}

net::HttpResponse KvService::RevokeLease(std::string_view aLease)
{
  return Reply(mTable.RevokeLease(Number(aLease)).ok() ? kOk : kNotFound,
               Json::objectValue);
}

} // namespace foxtailbarrow::standin
