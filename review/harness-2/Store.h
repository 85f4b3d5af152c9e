#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "Http.h"
#include "Record.h"

namespace review {

/// The platform's metadata store, as PROTOCOL.md describes it.
class Store
{
public:
  Store(std::uint16_t aPort, Record& aRecord);
  ~Store();

  /// A write by the operator.
  void Put(const std::string& aKey, const std::string& aValue);

  /// The next transaction that creates this key gets no answer, and is carried
  /// out after this time if its condition still holds then.
  void LoseCreationOf(const std::string& aKey, int aLateMs);

private:
  struct Item
  {
    std::string mValue; ///< Base64.
    std::int64_t mRevision = 0;
    std::int64_t mCreated = 0;
    std::int64_t mLease = 0;
  };
  struct Lease
  {
    std::chrono::milliseconds mTtl{};
    std::chrono::steady_clock::time_point mEnd;
  };
  struct Event
  {
    std::string mKey;
    std::int64_t mRevision = 0;
    std::optional<Item> mItem;
  };

  Response Handle(const Request& aRequest);
  Response Watch(const Request& aRequest);
  Response Transact(const Json::Value& aBody);
  Json::Value ToJson(const std::string& aKey, const Item& aItem) const;
  void Set(const std::string& aKey,
           const std::string& aValue,
           std::int64_t aLease);
  void Remove(const std::string& aKey);
  void ExpireLeases();

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::map<std::int64_t, Lease> mLeases;
  std::vector<Event> mEvents;
  std::int64_t mRevision = 1;
  std::int64_t mLastLease = 1000;
  std::string mLoseKey;
  int mLateMs = 0;
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mLate;
  std::thread mExpiry;
  std::unique_ptr<HttpServer> mServer;
};

std::string ToText(const Json::Value& aValue);
Json::Value FromText(const std::string& aText);
std::string FromBase64(const std::string& aText);

} // namespace review
