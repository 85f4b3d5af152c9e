#pragma once

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <json/value.h>

// Bridge to libjsonrpccpp, whose headers do not compile as C++17 or later. This
// header is compiled as C++14 by the shim and as C++20 elsewhere.

namespace foxtailbarrow {
namespace net {
namespace rpcshim {

/// Error object of a JSON-RPC 2.0 response.
class RpcError : public std::exception
{
public:
  RpcError(int aCode, std::string aMessage, Json::Value aData)
    : mCode(aCode)
    , mMessage(std::move(aMessage))
    , mData(std::move(aData))
  {
  }

  int Code() const { return mCode; }
  const std::string& Message() const { return mMessage; }
  const Json::Value& Data() const { return mData; }
  const char* what() const noexcept override // NOLINT
  {
    return mMessage.c_str();
  }

private:
  int mCode;
  std::string mMessage;
  Json::Value mData;
};

/// Error codes of JSON-RPC 2.0 that both sides use.
constexpr int kParseErrorCode = -32700;
constexpr int kInvalidRequestCode = -32600;
constexpr int kMethodNotFoundCode = -32601;
constexpr int kInvalidParamsCode = -32602;
constexpr int kInternalErrorCode = -32603;
/// Error that a method returned; its data contains the status code.
constexpr int kMethodErrorCode = -32000;
/// libjsonrpccpp's code for a response that is not JSON-RPC 2.0.
constexpr int kInvalidResponseCode = -32001;

/// Deepest nesting of a JSON text that either side accepts. The messages of the
/// system are nested far less.
constexpr int kMaxNesting = 64;

/// Most values of a JSON text that either side accepts, which bounds the memory
/// that parsing it takes. The messages of the system, limited to 1 MiB, have
/// fewer.
constexpr std::size_t kMaxValues = 131072;

/// True if `aText` is nested deeper than kMaxNesting, has more than kMaxValues
/// values or contains a comment, which is not valid JSON. Must be checked
/// before libjsonrpccpp parses a text: jsoncpp recurses and throws above 1,000
/// levels, which terminates the process in libjsonrpccpp's client.
bool IsUnsafeToParse(const std::string& aText);

/// Server side: parses, validates and encodes with libjsonrpccpp.
class Server
{
public:
  /// Runs one method; throws RpcError to respond with an error.
  using Invoke = std::function<Json::Value(const std::string& aMethod,
                                           const Json::Value& aParams)>;

  explicit Server(Invoke aInvoke);
  ~Server();

  void AddMethod(const std::string& aName);

  /// Handles one JSON-RPC text and returns the response, empty if none is due.
  /// Thread-safe once all methods are added. Throws jsoncpp's exceptions and
  /// those of the Invoke function other than RpcError.
  std::string Handle(const std::string& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Client side: encodes a call, sends it with `aTransport` and decodes the
/// response with libjsonrpccpp. Throws RpcError for an error object, with
/// kInvalidResponseCode for a text that is not a JSON-RPC 2.0 response. Returns
/// false if `aTransport` does, which means that there is no response.
bool Call(const std::function<bool(const std::string& aRequest,
                                   std::string& aResponse)>& aTransport,
          const std::string& aMethod,
          const Json::Value& aParams,
          Json::Value& aResult);

} // namespace rpcshim
} // namespace net
} // namespace foxtailbarrow
