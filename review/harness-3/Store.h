#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <json/value.h>

#include "Http.h"
#include "Record.h"

namespace review {

/// The platform's metadata store, as PROTOCOL.md describes it. It answers after
/// 4 ms and is never disturbed.
class Store
{
public:
  Store(const Address& aListen, Record& aRecord);

  /// A write of the operator; its return is the acknowledgement.
  void Put(const std::string& aKey, const std::string& aValue);
  /// The value of a key; empty without one.
  std::string Get(const std::string& aKey);
  /// The next write of a key with this prefix gets no answer and is carried out
  /// `aLateMs` later, if its condition still holds.
  void DelayNextWrite(const std::string& aPrefix, long long aLateMs);
  bool Listening() const { return mServer->Listening(); }

private:
  struct Item
  {
    std::string mValue;
    long long mRevision = 0;
    long long mCreated = 0;
    long long mLease = 0;
  };
  struct Event
  {
    std::string mKey;
    long long mRevision = 0;
    bool mTombstone = false;
    Item mItem;
  };
  struct Lease
  {
    long long mTtlMs = 0;
    long long mEndMs = 0;
  };

  Response Handle(const Request& aRequest);
  Response Route(const Request& aRequest);
  Response Range(const Request& aRequest);
  Response Watch(const Request& aRequest, std::unique_lock<std::mutex>& aLock);
  Response Transaction(const Request& aRequest);
  bool TakeDelay(const Request& aRequest, long long& aLateMs);
  Response GrantLease(const Request& aRequest);
  void Expire();
  void Set(const std::string& aKey,
           const std::string& aValue,
           long long aLease);
  void Remove(const std::string& aKey);
  static Json::Value ToJson(const std::string& aKey, const Item& aItem);

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::deque<Event> mEvents;
  std::map<long long, Lease> mLeases;
  std::string mDelayedPrefix;
  long long mLateMs = 0;
  long long mRevision = 1;
  long long mLastLease = 0;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace review
