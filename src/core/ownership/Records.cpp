#include "src/core/ownership/Records.h"

#include <memory>

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

namespace foxtailbarrow {

namespace {

std::string Write(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder sBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return builder;
  }();
  return Json::writeString(sBuilder, aValue);
}

std::optional<Json::Value> ReadObject(std::string_view aText)
{
  static const Json::CharReaderBuilder sBuilder;
  const std::unique_ptr<Json::CharReader> reader(sBuilder.newCharReader());
  Json::Value value;
  const char* const begin = aText.data();
  if (!reader->parse(begin, begin + aText.size(), &value, nullptr) ||
      !value.isObject()) {
    return std::nullopt;
  }
  return value;
}

bool AllInt64(const Json::Value& aArray)
{
  for (const Json::Value& item : aArray) {
    if (!item.isInt64()) {
      return false;
    }
  }
  return aArray.isArray();
}

std::optional<Voters> DecodeVoters(const Json::Value& aObject)
{
  if (!aObject.isObject()) {
    return std::nullopt;
  }
  Voters voters;
  for (const std::string& name : aObject.getMemberNames()) {
    const Json::Value& address = aObject[name];
    const auto endpoint =
      address.isString() ? ParseEndpoint(address.asString()) : std::nullopt;
    if (!endpoint) {
      return std::nullopt;
    }
    voters.push_back({ EntryId(name), *endpoint });
  }
  return voters;
}

} // namespace

std::string Encode(const EntryRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  value["entry"] = aRecord.mEntry.Value();
  value["incarnation"] = Json::UInt64(aRecord.mIncarnation);
  value["endpoint"] = ToString(aRecord.mEndpoint);
  value["tenure"] = Json::Int64(aRecord.mTenure);
  return Write(value);
}

std::string Encode(const ShardRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  value["owner"] = aRecord.mOwner.Value();
  value["tenure"] = Json::Int64(aRecord.mTenure);
  value["token"] = aRecord.mToken;
  Json::Value& predecessors = value["predecessors"] = Json::arrayValue;
  for (const StoreLease tenure : aRecord.mPredecessors) {
    predecessors.append(Json::Int64(tenure));
  }
  return Write(value);
}

std::string Encode(const TenureRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  value["entry"] = aRecord.mEntry.Value();
  value["incarnation"] = Json::UInt64(aRecord.mIncarnation);
  Json::Value& voters = value["voters"] = Json::objectValue;
  for (const Voter& voter : aRecord.mVoters) {
    voters[voter.mEntry.Value()] = ToString(voter.mEndpoint);
  }
  return Write(value);
}

std::optional<EntryRecord> DecodeEntryRecord(std::string_view aText)
{
  const auto value = ReadObject(aText);
  if (!value || !(*value)["entry"].isString() ||
      !(*value)["incarnation"].isUInt64() || !(*value)["endpoint"].isString() ||
      !(*value)["tenure"].isInt64()) {
    return std::nullopt;
  }
  const auto endpoint = ParseEndpoint((*value)["endpoint"].asString());
  if (!endpoint) {
    return std::nullopt;
  }
  return EntryRecord{ EntryId((*value)["entry"].asString()),
                      (*value)["incarnation"].asUInt64(),
                      *endpoint,
                      (*value)["tenure"].asInt64() };
}

std::optional<ShardRecord> DecodeShardRecord(std::string_view aText)
{
  const auto value = ReadObject(aText);
  if (!value || !(*value)["owner"].isString() ||
      !(*value)["tenure"].isInt64() || !(*value)["token"].isString() ||
      !AllInt64((*value)["predecessors"])) {
    return std::nullopt;
  }
  ShardRecord record{ EntryId((*value)["owner"].asString()),
                      (*value)["tenure"].asInt64(),
                      (*value)["token"].asString(),
                      {} };
  for (const Json::Value& tenure : (*value)["predecessors"]) {
    record.mPredecessors.push_back(tenure.asInt64());
  }
  return record;
}

std::optional<TenureRecord> DecodeTenureRecord(std::string_view aText)
{
  const auto value = ReadObject(aText);
  if (!value || !(*value)["entry"].isString() ||
      !(*value)["incarnation"].isUInt64()) {
    return std::nullopt;
  }
  auto voters = DecodeVoters((*value)["voters"]);
  if (!voters) {
    return std::nullopt;
  }
  return TenureRecord{ EntryId((*value)["entry"].asString()),
                       (*value)["incarnation"].asUInt64(),
                       std::move(*voters) };
}

} // namespace foxtailbarrow
