#include "src/net/rpcshim/RpcShim.h"

#include <jsonrpccpp/server.h>

namespace foxtailbarrow {
namespace net {
namespace rpcshim {

namespace {

/// Runs the method calls that libjsonrpccpp's protocol handler has validated.
class Invoker : public jsonrpc::IProcedureInvokationHandler
{
public:
  explicit Invoker(Server::Invoke aInvoke)
    : mInvoke(std::move(aInvoke))
  {
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    try {
      aOutput = mInvoke(aProcedure.GetProcedureName(), aInput);
    } catch (const RpcError& error) {
      throw jsonrpc::JsonRpcException(
        error.Code(), error.Message(), error.Data());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override
  {
  }

private:
  Server::Invoke mInvoke;
};

} // namespace

struct Server::Impl
{
  explicit Impl(Invoke aInvoke)
    : mInvoker(std::move(aInvoke))
    , mHandler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
        jsonrpc::JSONRPC_SERVER_V2,
        mInvoker))
  {
  }

  Invoker mInvoker;
  std::unique_ptr<jsonrpc::IProtocolHandler> mHandler;
};

Server::Server(Invoke aInvoke)
  : mImpl(new Impl(std::move(aInvoke)))
{
}

Server::~Server() = default;

void Server::AddMethod(const std::string& aName)
{
  mImpl->mHandler->AddProcedure(jsonrpc::Procedure(
    aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string Server::Handle(const std::string& aRequest)
{
  std::string response;
  mImpl->mHandler->HandleRequest(aRequest, response);
  return response;
}

} // namespace rpcshim
} // namespace net
} // namespace foxtailbarrow
