#include "src/net/rpcshim/RpcShim.h"

#include <jsonrpccpp/client.h>

namespace foxtailbarrow {
namespace net {
namespace rpcshim {

namespace {

using Transport =
  std::function<bool(const std::string& aRequest, std::string& aResponse)>;

class Connector : public jsonrpc::IClientConnector
{
public:
  explicit Connector(const Transport& aTransport)
    : mTransport(aTransport)
  {
  }

  bool Answered() const { return mAnswered; }

  // The exception specification makes any other exception end the process.
  void SendRPCMessage(
    const std::string& aRequest,
    std::string& aResponse) throw(jsonrpc::JsonRpcException) override
  {
    mAnswered = mTransport(aRequest, aResponse);
    if (!mAnswered) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }
    if (IsUnsafeToParse(aResponse)) {
      throw jsonrpc::JsonRpcException(
        jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE);
    }
  }

private:
  const Transport& mTransport;
  bool mAnswered = false;
};

} // namespace

bool Call(const Transport& aTransport,
          const std::string& aMethod,
          const Json::Value& aParams,
          Json::Value& aResult)
{
  Connector connector(aTransport);
  jsonrpc::Client client(connector);
  try {
    client.CallMethod(aMethod, aParams, aResult);
  } catch (const jsonrpc::JsonRpcException& error) {
    if (!connector.Answered()) {
      return false;
    }
    const int code = error.GetCode();
    throw RpcError(code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR ||
                       code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE
                     ? kInvalidResponseCode
                     : code,
                   error.GetMessage(),
                   error.GetData());
  }
  return true;
}

} // namespace rpcshim
} // namespace net
} // namespace foxtailbarrow
