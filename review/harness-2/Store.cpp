#include "Store.h"

#include <memory>

#include <json/reader.h>
#include <json/writer.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr char kDigits[] =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Base64(const std::string& aText)
{
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
        bits << 8U |
        (i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      encoded.push_back(
        i + j > aText.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 0x3FU]);
    }
  }
  return encoded;
}

} // namespace

std::string ToText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value FromText(const std::string& aText)
{
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  std::string errors;
  reader->parse(aText.data(), aText.data() + aText.size(), &value, &errors);
  return value;
}

std::string FromBase64(const std::string& aText)
{
  std::string decoded;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char character : aText) {
    const auto digit = std::string_view(kDigits).find(character);
    if (digit == std::string_view::npos) {
      break;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(digit);
    if ((count += 6) >= 8) {
      count -= 8;
      decoded.push_back(static_cast<char>(bits >> count & 0xFFU));
    }
  }
  return decoded;
}

Store::Store(std::uint16_t aPort, Record& aRecord)
  : mRecord(aRecord)
{
  mExpiry = std::thread([this] {
    while (!mStopping) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      ExpireLeases();
    }
  });
  mServer = std::make_unique<HttpServer>(
    aPort, [this](const Request& aRequest) { return Handle(aRequest); });
}

Store::~Store()
{
  mStopping = true;
  mChanged.notify_all();
  mServer.reset();
  mExpiry.join();
  for (std::thread& late : mLate) {
    late.join();
  }
}

void Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  ++mRevision;
  Set(aKey, Base64(aValue), 0);
}

void Store::LoseCreationOf(const std::string& aKey, int aLateMs)
{
  const std::lock_guard lock(mMutex);
  mLoseKey = aKey;
  mLateMs = aLateMs;
}

void Store::Set(const std::string& aKey,
                const std::string& aValue,
                std::int64_t aLease)
{
  Item& item = mItems[aKey];
  item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
  item.mValue = aValue;
  item.mRevision = mRevision;
  item.mLease = aLease;
  mEvents.push_back({ aKey, mRevision, item });
  mChanged.notify_all();
}

void Store::Remove(const std::string& aKey)
{
  if (mItems.erase(aKey) > 0) {
    mEvents.push_back({ aKey, mRevision, std::nullopt });
    mChanged.notify_all();
  }
}

void Store::ExpireLeases()
{
  const std::lock_guard lock(mMutex);
  for (auto lease = mLeases.begin(); lease != mLeases.end();) {
    if (Clock::now() < lease->second.mEnd) {
      ++lease;
      continue;
    }
    ++mRevision;
    const auto items = mItems;
    for (const auto& [key, item] : items) {
      if (item.mLease == lease->first) {
        mRecord.Write("store: lease ended, key removed: " + key);
        Remove(key);
      }
    }
    lease = mLeases.erase(lease);
  }
}

Json::Value Store::ToJson(const std::string& aKey, const Item& aItem) const
{
  Json::Value value;
  value["Key"] = aKey;
  value["Value"] = aItem.mValue;
  value["Revision"] = Json::Int64{ aItem.mRevision };
  value["Created"] = Json::Int64{ aItem.mCreated };
  value["Lease"] = Json::Int64{ aItem.mLease };
  return value;
}

Response Store::Handle(const Request& aRequest)
{
  const std::string path = aRequest.Path();
  if (path == "/kv-watch") {
    return Watch(aRequest);
  }
  const Json::Value body =
    aRequest.mBody.empty() ? Json::Value() : FromText(aRequest.mBody);
  const std::lock_guard lock(mMutex);
  if (path == "/kv-key") {
    const std::string key = aRequest.Query("Key");
    const auto found = mItems.find(key);
    if (found == mItems.end()) {
      return { 404 };
    }
    Json::Value item = ToJson(key, found->second);
    item["CurrentRev"] = Json::Int64{ mRevision };
    return { 200, ToText(item) };
  }
  if (path == "/kv-range") {
    const std::string prefix = aRequest.Query("Prefix");
    const std::string after = aRequest.Query("After");
    Json::Value page;
    page["items"] = Json::Value(Json::arrayValue);
    for (const auto& [key, item] : mItems) {
      if (key.starts_with(prefix) && key > after) {
        page["items"].append(ToJson(key, item));
      }
    }
    page["HasMore"] = false;
    page["CurrentRev"] = Json::Int64{ mRevision };
    return { 200, ToText(page) };
  }
  if (path == "/kv-txn") {
    for (const Json::Value& row : body["Expect"]) {
      if (mLoseKey.empty() || row["Key"].asString() != mLoseKey ||
          row["Revision"].asInt64() != 0) {
        continue;
      }
      mRecord.Write("store: no answer to the creation of " + mLoseKey +
                    ", to be carried out " + std::to_string(mLateMs) +
                    " ms later");
      mLoseKey.clear();
      mLate.emplace_back([this, body, late = mLateMs] {
        const auto due = Clock::now() + std::chrono::milliseconds(late);
        while (!mStopping && Clock::now() < due) {
          std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        const std::lock_guard lateLock(mMutex);
        const Response response = Transact(body);
        mRecord.Write("store: the unanswered write is carried out: " +
                      std::to_string(response.mStatus));
      });
      return { 200, "", true };
    }
    return Transact(body);
  }
  if (path == "/kv-lease") {
    const std::chrono::milliseconds ttl(body["TtlMs"].asInt64());
    mLeases[++mLastLease] = { ttl, Clock::now() + ttl };
    Json::Value reply;
    reply["Lease"] = Json::Int64{ mLastLease };
    reply["TtlMs"] = body["TtlMs"];
    return { 200, ToText(reply) };
  }
  const std::size_t slash = path.rfind('/');
  const std::int64_t id = std::atoll(path.c_str() + slash + 1);
  const auto lease = mLeases.find(id);
  if (lease == mLeases.end()) {
    return { 404 };
  }
  if (path.starts_with("/kv-keep/")) {
    lease->second.mEnd = Clock::now() + lease->second.mTtl;
    Json::Value reply;
    reply["TtlMs"] = Json::Int64{ lease->second.mTtl.count() };
    return { 200, ToText(reply) };
  }
  lease->second.mEnd = Clock::now(); // DELETE /kv-lease-end/ID
  return { 200 };
}

Response Store::Transact(const Json::Value& aBody)
{
  Json::Value current;
  current["items"] = Json::Value(Json::arrayValue);
  bool holds = true;
  for (const Json::Value& row : aBody["Expect"]) {
    const auto found = mItems.find(row["Key"].asString());
    const std::int64_t revision =
      found == mItems.end() ? 0 : found->second.mRevision;
    holds = holds && revision == row["Revision"].asInt64();
    if (found != mItems.end()) {
      current["items"].append(ToJson(found->first, found->second));
    }
  }
  if (!holds) {
    return { 412, ToText(current) };
  }
  for (const Json::Value& row : aBody["Writes"]) {
    const std::int64_t lease = row["Lease"].asInt64();
    if (lease != 0 && !mLeases.contains(lease)) {
      return { 404 };
    }
  }
  ++mRevision;
  for (const Json::Value& row : aBody["Writes"]) {
    Set(row["Key"].asString(), row["Value"].asString(), row["Lease"].asInt64());
  }
  for (const Json::Value& key : aBody["Deletes"]) {
    Remove(key.asString());
  }
  Json::Value reply;
  reply["Revision"] = Json::Int64{ mRevision };
  return { 200, ToText(reply) };
}

Response Store::Watch(const Request& aRequest)
{
  const std::string prefix = aRequest.Query("Prefix");
  const std::int64_t after = std::atoll(aRequest.Query("After").c_str());
  const auto end =
    Clock::now() +
    std::chrono::milliseconds(std::atoll(aRequest.Query("WaitMs").c_str()));
  std::unique_lock lock(mMutex);
  for (;;) {
    Json::Value reply;
    reply["events"] = Json::Value(Json::arrayValue);
    for (const Event& event : mEvents) {
      if (event.mRevision <= after || !event.mKey.starts_with(prefix)) {
        continue;
      }
      if (event.mItem) {
        reply["events"].append(ToJson(event.mKey, *event.mItem));
      } else {
        Json::Value removed;
        removed["Key"] = event.mKey;
        removed["Revision"] = Json::Int64{ event.mRevision };
        removed["Tombstone"] = true;
        reply["events"].append(removed);
      }
    }
    reply["CurrentRev"] = Json::Int64{ mRevision };
    if (!reply["events"].empty() || Clock::now() >= end || mStopping) {
      return { 200, ToText(reply) };
    }
    mChanged.wait_until(lock, end);
  }
}

} // namespace review
