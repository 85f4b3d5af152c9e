#include "Store.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include "Text.h"

namespace review {

namespace {

constexpr auto kAnswerTime = std::chrono::milliseconds(4);
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kHistory = 20'000;

Response Reply(int aStatus, const Json::Value& aBody = Json::objectValue)
{
  return { aStatus, FormatJson(aBody), {} };
}

} // namespace

Store::Store(const Address& aListen, Record& aRecord)
  : mRecord(aRecord)
{
  mServer = std::make_unique<HttpServer>(
    aListen, [this](const Request& aRequest) { return Handle(aRequest); });
}

void Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  Set(aKey, aValue, 0);
  mRecord.Add("operator: " + aKey + " acknowledged: " + aValue);
  mChanged.notify_all();
}

std::string Store::Get(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? std::string() : found->second.mValue;
}

void Store::Set(const std::string& aKey,
                const std::string& aValue,
                long long aLease)
{
  Item& item = mItems[aKey];
  item.mValue = aValue;
  item.mRevision = ++mRevision;
  item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
  item.mLease = aLease;
  mEvents.push_back({ aKey, mRevision, false, item });
  if (mEvents.size() > kHistory) {
    mEvents.pop_front();
  }
}

void Store::Remove(const std::string& aKey)
{
  if (mItems.erase(aKey) > 0) {
    mEvents.push_back({ aKey, ++mRevision, true, {} });
  }
}

void Store::Expire()
{
  const long long now = NowMs();
  for (auto lease = mLeases.begin(); lease != mLeases.end();) {
    if (lease->second.mEndMs > now) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item.mLease == lease->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      mRecord.Add("store: lease ended, key removed: " + key);
      Remove(key);
    }
    lease = mLeases.erase(lease);
    mChanged.notify_all();
  }
}

Json::Value Store::ToJson(const std::string& aKey, const Item& aItem)
{
  Json::Value item;
  item["Key"] = aKey;
  item["Value"] = EncodeBase64(aItem.mValue);
  item["Revision"] = Json::Int64{ aItem.mRevision };
  item["Created"] = Json::Int64{ aItem.mCreated };
  item["Lease"] = Json::Int64{ aItem.mLease };
  return item;
}

Response Store::Handle(const Request& aRequest)
{
  std::this_thread::sleep_for(kAnswerTime);
  long long lateMs = 0;
  if (TakeDelay(aRequest, lateMs)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(lateMs));
    const Response late = Route(aRequest);
    mRecord.Add("store: the late write is carried out: " +
                std::to_string(late.mStatus));
    return {};
  }
  return Route(aRequest);
}

void Store::DelayNextWrite(const std::string& aPrefix, long long aLateMs)
{
  const std::lock_guard lock(mMutex);
  mDelayedPrefix = aPrefix;
  mLateMs = aLateMs;
}

bool Store::TakeDelay(const Request& aRequest, long long& aLateMs)
{
  const std::lock_guard lock(mMutex);
  if (mDelayedPrefix.empty() || aRequest.Path() != "/kv-txn") {
    return false;
  }
  const Json::Value body = ParseJson(aRequest.mBody);
  for (const Json::Value& row : body["Writes"]) {
    if (row["Key"].asString().starts_with(mDelayedPrefix)) {
      aLateMs = mLateMs;
      mRecord.Add("store: a write gets no answer and is late by " +
                  std::to_string(aLateMs) + " ms: " + row["Key"].asString());
      mDelayedPrefix.clear();
      return true;
    }
  }
  return false;
}

Response Store::Route(const Request& aRequest)
{
  std::unique_lock lock(mMutex);
  Expire();
  const std::string path = aRequest.Path();
  if (path == "/kv-key") {
    const std::string key = aRequest.Query("Key");
    const auto found = mItems.find(key);
    if (found == mItems.end()) {
      return Reply(404);
    }
    Json::Value body = ToJson(key, found->second);
    body["CurrentRev"] = Json::Int64{ mRevision };
    return Reply(200, body);
  }
  if (path == "/kv-range") {
    return Range(aRequest);
  }
  if (path == "/kv-watch") {
    return Watch(aRequest, lock);
  }
  if (path == "/kv-txn") {
    return Transaction(aRequest);
  }
  if (path == "/kv-lease") {
    return GrantLease(aRequest);
  }
  const std::size_t slash = path.rfind('/');
  const long long id = std::atoll(path.substr(slash + 1).c_str());
  const auto lease = mLeases.find(id);
  if (lease == mLeases.end()) {
    return Reply(404);
  }
  if (path.starts_with("/kv-keep/")) {
    lease->second.mEndMs = NowMs() + lease->second.mTtlMs;
    Json::Value body;
    body["TtlMs"] = Json::Int64{ lease->second.mTtlMs };
    return Reply(200, body);
  }
  if (path.starts_with("/kv-lease-end/")) {
    lease->second.mEndMs = 0;
    Expire();
    return Reply(200);
  }
  return Reply(404);
}

Response Store::Range(const Request& aRequest)
{
  const std::string prefix = aRequest.Query("Prefix");
  const std::string after = aRequest.Query("After");
  Json::Value body;
  body["items"] = Json::arrayValue;
  body["HasMore"] = false;
  body["CurrentRev"] = Json::Int64{ mRevision };
  for (auto item = mItems.lower_bound(std::max(prefix, after));
       item != mItems.end() && item->first.starts_with(prefix);
       ++item) {
    if (item->first == after) {
      continue;
    }
    if (body["items"].size() == kPageItems) {
      body["HasMore"] = true;
      break;
    }
    body["items"].append(ToJson(item->first, item->second));
  }
  return Reply(200, body);
}

Response Store::Watch(const Request& aRequest,
                      std::unique_lock<std::mutex>& aLock)
{
  const std::string prefix = aRequest.Query("Prefix");
  const long long after = std::atoll(aRequest.Query("After").c_str());
  const long long end = NowMs() + std::atoll(aRequest.Query("WaitMs").c_str());
  for (;;) {
    Json::Value body;
    body["events"] = Json::arrayValue;
    for (const Event& event : mEvents) {
      if (event.mRevision <= after || !event.mKey.starts_with(prefix)) {
        continue;
      }
      Json::Value row;
      if (event.mTombstone) {
        row["Key"] = event.mKey;
        row["Revision"] = Json::Int64{ event.mRevision };
        row["Tombstone"] = true;
      } else {
        row = ToJson(event.mKey, event.mItem);
      }
      body["events"].append(row);
    }
    if (!body["events"].empty() || NowMs() >= end) {
      body["CurrentRev"] = Json::Int64{ mRevision };
      return Reply(200, body);
    }
    mChanged.wait_for(aLock, std::chrono::milliseconds(20));
    Expire();
  }
}

Response Store::Transaction(const Request& aRequest)
{
  const Json::Value body = ParseJson(aRequest.mBody);
  bool holds = true;
  Json::Value items = Json::arrayValue;
  for (const Json::Value& row : body["Expect"]) {
    const std::string key = row["Key"].asString();
    const auto found = mItems.find(key);
    const long long revision =
      found == mItems.end() ? 0 : found->second.mRevision;
    holds = holds && revision == row["Revision"].asInt64();
    if (found != mItems.end()) {
      items.append(ToJson(key, found->second));
    }
  }
  Json::Value reply;
  if (!holds) {
    reply["items"] = items;
    return Reply(412, reply);
  }
  for (const Json::Value& row : body["Writes"]) {
    const long long lease = row["Lease"].asInt64();
    if (row["Key"].asString().starts_with("op/") ||
        row["Key"].asString().starts_with("servers/")) {
      return Reply(403);
    }
    if (lease != 0 && !mLeases.contains(lease)) {
      return Reply(404);
    }
  }
  for (const Json::Value& row : body["Writes"]) {
    Set(row["Key"].asString(),
        DecodeBase64(row["Value"].asString()),
        row["Lease"].asInt64());
  }
  for (const Json::Value& key : body["Deletes"]) {
    Remove(key.asString());
  }
  mChanged.notify_all();
  reply["Revision"] = Json::Int64{ mRevision };
  return Reply(200, reply);
}

Response Store::GrantLease(const Request& aRequest)
{
  const long long ttl = std::clamp<long long>(
    ParseJson(aRequest.mBody)["TtlMs"].asInt64(), 1000, 600'000);
  mLeases[++mLastLease] = { ttl, NowMs() + ttl };
  Json::Value reply;
  reply["Lease"] = Json::Int64{ mLastLease };
  reply["TtlMs"] = Json::Int64{ ttl };
  return Reply(200, reply);
}

} // namespace review
