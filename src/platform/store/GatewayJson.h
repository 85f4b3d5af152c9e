#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <json/value.h>

#include "absl/status/statusor.h"

/// Encodings shared by client and server of etcd v3's JSON gateway: bytes are
/// base64, 64-bit integers are decimal strings, default values are omitted.
namespace foxtailbarrow::etcd {

/// Targets of the gateway; each accepts only POST.
inline constexpr std::string_view kRangeTarget = "/v3/kv/range";
inline constexpr std::string_view kPutTarget = "/v3/kv/put";
inline constexpr std::string_view kTxnTarget = "/v3/kv/txn";
inline constexpr std::string_view kGrantTarget = "/v3/lease/grant";
inline constexpr std::string_view kKeepAliveTarget = "/v3/lease/keepalive";
inline constexpr std::string_view kRevokeTarget = "/v3/lease/revoke";
inline constexpr std::string_view kLegacyRevokeTarget = "/v3/kv/lease/revoke";
inline constexpr std::string_view kWatchTarget = "/v3/watch";

/// Parses one JSON object; InvalidArgument for anything else, for trailing
/// input and for nesting deeper than the protocol uses.
absl::StatusOr<Json::Value> ParseObject(std::string_view aText);

/// One line of JSON without a newline.
std::string WriteLine(const Json::Value& aValue);

Json::Value EncodeBytes(std::string_view aBytes);

/// nullopt unless the field is base64 text; empty when it is missing.
std::optional<std::string> DecodeBytes(const Json::Value& aField);

Json::Value EncodeInteger(std::int64_t aNumber);

/// Accepts a decimal string or a number; 0 when missing, nullopt otherwise.
std::optional<std::int64_t> DecodeInteger(const Json::Value& aField);

} // namespace foxtailbarrow::etcd
