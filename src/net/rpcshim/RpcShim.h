#pragma once

#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <json/value.h>

// Bridge to libjsonrpccpp, whose headers C++17 and later reject. This header is
// read as C++14 by the shim and as C++20 by the rest.

namespace foxtailbarrow {
namespace net {
namespace rpcshim {

/// Error object of a JSON-RPC 2.0 answer.
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

/// Codes of JSON-RPC 2.0 that both sides use.
constexpr int kParseErrorCode = -32700;
constexpr int kInvalidRequestCode = -32600;
constexpr int kMethodNotFoundCode = -32601;
constexpr int kInvalidParamsCode = -32602;
constexpr int kInternalErrorCode = -32603;
/// An error that a method answered; its data says which.
constexpr int kMethodErrorCode = -32000;
/// libjsonrpccpp's code for a response that is no JSON-RPC 2.0.
constexpr int kInvalidResponseCode = -32001;

/// Deepest nesting of a JSON text that either side takes. Every message of the
/// system is far flatter.
constexpr int kMaxNesting = 64;

/// True when `aText` nests deeper than kMaxNesting or holds a comment, which
/// JSON has not. Checked before libjsonrpccpp parses a text, since jsoncpp
/// recurses, and throws above 1,000 levels, which libjsonrpccpp's client turns
/// into the end of the process.
bool IsUnsafeToParse(const std::string& aText);

/// Server side: parses, checks and encodes by libjsonrpccpp.
class Server
{
public:
  /// Runs one method; throws RpcError to answer with an error.
  using Invoke = std::function<Json::Value(const std::string& aMethod,
                                           const Json::Value& aParams)>;

  explicit Server(Invoke aInvoke);
  ~Server();

  void AddMethod(const std::string& aName);

  /// Answers one JSON-RPC text. Empty when there is nothing to answer. Callable
  /// from several threads once every method is added. Throws what aInvoke
  /// throws besides RpcError, and jsoncpp's exceptions.
  std::string Handle(const std::string& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Client side: encodes a call, sends it by `aTransport` and decodes the answer
/// by libjsonrpccpp. Throws RpcError for an error object, with
/// kInvalidResponseCode for a text that is no JSON-RPC 2.0 response.
/// `aTransport` returns false when it has no answer; then Call() returns false.
bool Call(const std::function<bool(const std::string& aRequest,
                                   std::string& aResponse)>& aTransport,
          const std::string& aMethod,
          const Json::Value& aParams,
          Json::Value& aResult);

} // namespace rpcshim
} // namespace net
} // namespace foxtailbarrow
