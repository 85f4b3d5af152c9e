#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <vector>

#include "Http.h"

namespace review {

/// The platform's store, as PROTOCOL.md describes it.
class Store
{
public:
  /// Down: every call gets a 503 and has no effect; leases pause meanwhile.
  explicit Store(const Address& aAddress)
    : mServer(aAddress,
              [this](const HttpMessage& aRequest) { return Handle(aRequest); })
  {
  }

  bool Open()
  {
    std::thread([this] { ExpireLeases(); }).detach();
    return mServer.Open();
  }

  void SetDown(bool aDown)
  {
    const std::lock_guard lock(mMutex);
    if (aDown != mDown) {
      (aDown ? mDownSince : mUpSince) = Now();
      if (!aDown) {
        for (auto& [id, lease] : mLeases) {
          lease.mEnd += mUpSince - mDownSince;
        }
      }
      mDown = aDown;
      mChanged.notify_all();
    }
  }

  /// A write of the operator.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    ++mRevision;
    Write(aKey, Base64(aValue), 0);
    mChanged.notify_all();
  }

  /// The key's value; empty if there is none.
  std::string Get(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mItems.find(aKey);
    return found == mItems.end() ? "" : FromBase64(found->second.mValue);
  }

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::int64_t mCreated = 0;
    std::int64_t mLease = 0;
  };
  struct Event
  {
    std::string mKey;
    std::int64_t mRevision = 0;
    Json::Value mRow;
  };
  struct Lease
  {
    Ms mTtl{};
    TimePoint mEnd;
  };

  static std::string Base64(const std::string& aText)
  {
    static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < aText.size(); i += 3) {
      unsigned bits = 0;
      for (std::size_t j = i; j < i + 3; ++j) {
        bits = bits << 8U |
               (j < aText.size() ? static_cast<unsigned char>(aText[j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        encoded.push_back(
          i + j > aText.size() ? '=' : kDigits[bits >> (18U - 6U * j) & 63U]);
      }
    }
    return encoded;
  }

  static std::string FromBase64(const std::string& aText)
  {
    std::string decoded;
    unsigned bits = 0;
    int count = 0;
    for (const char letter : aText) {
      unsigned digit = 0;
      if (letter >= 'A' && letter <= 'Z') {
        digit = static_cast<unsigned>(letter - 'A');
      } else if (letter >= 'a' && letter <= 'z') {
        digit = static_cast<unsigned>(letter - 'a') + 26;
      } else if (letter >= '0' && letter <= '9') {
        digit = static_cast<unsigned>(letter - '0') + 52;
      } else if (letter == '+') {
        digit = 62;
      } else if (letter == '/') {
        digit = 63;
      } else {
        break;
      }
      bits = bits << 6U | digit;
      count += 6;
      if (count >= 8) {
        count -= 8;
        decoded.push_back(static_cast<char>(bits >> count & 0xFFU));
      }
    }
    return decoded;
  }

  static std::string Decode(const std::string& aText)
  {
    std::string decoded;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        decoded.push_back(
          static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16)));
        i += 2;
      } else {
        decoded.push_back(aText[i]);
      }
    }
    return decoded;
  }

  static std::map<std::string, std::string> Query(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    std::size_t begin = aTarget.find('?');
    while (begin != std::string::npos) {
      const std::size_t end = aTarget.find('&', begin + 1);
      const std::string pair = aTarget.substr(
        begin + 1, end == std::string::npos ? end : end - begin - 1);
      const std::size_t equals = pair.find('=');
      query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
      begin = end;
    }
    return query;
  }

  static HttpMessage Reply(int aStatus,
                           const Json::Value& aBody = Json::objectValue)
  {
    HttpMessage response;
    response.mStatus = aStatus;
    response.mBody = Format(aBody);
    return response;
  }

  static Json::Value Row(const std::string& aKey, const Item& aItem)
  {
    Json::Value row;
    row["Key"] = aKey;
    row["Value"] = aItem.mValue;
    row["Revision"] = Json::Int64{ aItem.mRevision };
    row["Created"] = Json::Int64{ aItem.mCreated };
    row["Lease"] = Json::Int64{ aItem.mLease };
    return row;
  }

  void Write(const std::string& aKey,
             const std::string& aValue,
             std::int64_t aLease)
  {
    Item& item = mItems[aKey];
    item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
    item.mValue = aValue;
    item.mRevision = mRevision;
    item.mLease = aLease;
    mEvents.push_back({ aKey, mRevision, Row(aKey, item) });
  }

  void Delete(const std::string& aKey)
  {
    if (mItems.erase(aKey) == 0) {
      return;
    }
    Json::Value row;
    row["Key"] = aKey;
    row["Revision"] = Json::Int64{ mRevision };
    row["Tombstone"] = true;
    mEvents.push_back({ aKey, mRevision, row });
  }

  void EndLease(std::int64_t aLease)
  {
    mLeases.erase(aLease);
    ++mRevision;
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item.mLease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Delete(key);
    }
    mChanged.notify_all();
  }

  void ExpireLeases()
  {
    for (;;) {
      std::this_thread::sleep_for(Ms(10));
      const std::lock_guard lock(mMutex);
      if (mDown) {
        continue;
      }
      std::vector<std::int64_t> ended;
      for (const auto& [id, lease] : mLeases) {
        if (lease.mEnd <= Now()) {
          ended.push_back(id);
        }
      }
      for (const std::int64_t lease : ended) {
        EndLease(lease);
      }
    }
  }

  HttpMessage Handle(const HttpMessage& aRequest)
  {
    constexpr Ms kAnswerTime(4);
    std::this_thread::sleep_for(kAnswerTime);
    std::unique_lock lock(mMutex);
    if (mDown) {
      return Reply(503);
    }
    const std::string path =
      aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
    auto query = Query(aRequest.mTarget);
    if (path == "/kv-key") {
      const auto found = mItems.find(query["Key"]);
      if (found == mItems.end()) {
        return Reply(404);
      }
      Json::Value body = Row(found->first, found->second);
      body["CurrentRev"] = Json::Int64{ mRevision };
      return Reply(200, body);
    }
    if (path == "/kv-range") {
      return Range(query["Prefix"], query["After"]);
    }
    if (path == "/kv-watch") {
      return Watch(lock, query);
    }
    if (path == "/kv-txn") {
      return Transaction(Parse(aRequest.mBody));
    }
    if (path == "/kv-lease") {
      const Ms ttl(Parse(aRequest.mBody)["TtlMs"].asInt64());
      mLeases[++mLastLease] = { ttl, Now() + ttl };
      Json::Value body;
      body["Lease"] = Json::Int64{ mLastLease };
      body["TtlMs"] = Json::Int64{ ttl.count() };
      return Reply(200, body);
    }
    const std::int64_t id = std::atoll(path.c_str() + path.rfind('/') + 1);
    const auto lease = mLeases.find(id);
    if (lease == mLeases.end()) {
      return Reply(404);
    }
    if (path.starts_with("/kv-lease-end/")) {
      EndLease(id);
      return Reply(200);
    }
    lease->second.mEnd = Now() + lease->second.mTtl;
    Json::Value body;
    body["TtlMs"] = Json::Int64{ lease->second.mTtl.count() };
    return Reply(200, body);
  }

  HttpMessage Range(const std::string& aPrefix, const std::string& aAfter)
  {
    constexpr unsigned kPageItems = 500;
    Json::Value body;
    body["items"] = Json::arrayValue;
    body["HasMore"] = false;
    body["CurrentRev"] = Json::Int64{ mRevision };
    for (auto item = aAfter.empty() ? mItems.lower_bound(aPrefix)
                                    : mItems.upper_bound(aAfter);
         item != mItems.end() && item->first.starts_with(aPrefix);
         ++item) {
      if (body["items"].size() == kPageItems) {
        body["HasMore"] = true;
        break;
      }
      body["items"].append(Row(item->first, item->second));
    }
    return Reply(200, body);
  }

  HttpMessage Watch(std::unique_lock<std::mutex>& aLock,
                    std::map<std::string, std::string>& aQuery)
  {
    const std::int64_t after = std::atoll(aQuery["After"].c_str());
    const TimePoint end = Now() + Ms(std::atoll(aQuery["WaitMs"].c_str()));
    Json::Value body;
    body["events"] = Json::arrayValue;
    for (;;) {
      for (auto event = mEvents.rbegin();
           event != mEvents.rend() && event->mRevision > after;
           ++event) {
        if (event->mKey.starts_with(aQuery["Prefix"])) {
          body["events"].insert(0, event->mRow);
        }
      }
      if (!body["events"].empty() || mDown ||
          mChanged.wait_until(aLock, end) == std::cv_status::timeout) {
        break;
      }
    }
    body["CurrentRev"] = Json::Int64{ mRevision };
    return mDown ? Reply(503) : Reply(200, body);
  }

  HttpMessage Transaction(const Json::Value& aBody)
  {
    Json::Value conflict;
    bool applies = true;
    for (const Json::Value& row : aBody["Expect"]) {
      const auto item = mItems.find(row["Key"].asString());
      const std::int64_t revision =
        item == mItems.end() ? 0 : item->second.mRevision;
      applies = applies && revision == row["Revision"].asInt64();
      if (item != mItems.end()) {
        conflict["items"].append(Row(item->first, item->second));
      }
    }
    if (!applies) {
      conflict["CurrentRev"] = Json::Int64{ mRevision };
      return Reply(412, conflict);
    }
    for (const Json::Value& row : aBody["Writes"]) {
      const std::int64_t lease = row["Lease"].asInt64();
      if (lease != 0 && !mLeases.contains(lease)) {
        return Reply(404);
      }
    }
    for (const Json::Value& row : aBody["Writes"]) {
      Write(
        row["Key"].asString(), row["Value"].asString(), row["Lease"].asInt64());
    }
    for (const Json::Value& key : aBody["Deletes"]) {
      Delete(key.asString());
    }
    mChanged.notify_all();
    Json::Value body;
    body["Revision"] = Json::Int64{ mRevision };
    return Reply(200, body);
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::vector<Event> mEvents;
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mLastLease = 70000;
  std::int64_t mRevision = 100;
  bool mDown = false;
  TimePoint mDownSince;
  TimePoint mUpSince;
  HttpServer mServer;
};

} // namespace review
