// Cost of one JSON-RPC call without the network: encode, dispatch, respond and
// decode. Measured with libjsonrpccpp behind its shim, and with jsoncpp alone
// and without checks, which is the lower bound for any implementation on
// jsoncpp.

#include <memory>
#include <sstream>
#include <string>

#include <benchmark/benchmark.h>
#include <json/reader.h>
#include <json/writer.h>

#include "src/net/Rpc.h"
#include "src/net/rpcshim/RpcShim.h"

namespace foxtailbarrow::net {
namespace {

/// Params similar to a heartbeat of an agent with `aTasks` tasks.
Json::Value Params(int aTasks)
{
  Json::Value params(Json::objectValue);
  params["agent"] = "agent-0017";
  params["incarnation"] = Json::UInt64(1'764'690'000'123);
  params["slotsInUse"] = 5;
  params["slots"] = 8;
  params["waiting"] = 3;
  params["tasks"] = Json::Value(Json::arrayValue);
  for (int task = 0; task < aTasks; ++task) {
    Json::Value status(Json::objectValue);
    status["job"] = "job-" + std::to_string(100'000 + task);
    status["epoch"] = 4;
    status["state"] = "running";
    status["millicores"] = 1500;
    status["memoryMb"] = 2048;
    params["tasks"].append(status);
  }
  return params;
}

Json::Value Answer()
{
  Json::Value result(Json::objectValue);
  result["accepted"] = true;
  result["revision"] = 4711;
  return result;
}

void SetCounters(benchmark::State& aState)
{
  aState.SetItemsProcessed(aState.iterations());
}

void LibJsonRpcCpp(benchmark::State& aState)
{
  RpcDispatcher dispatcher;
  dispatcher.Add(
    "heartbeat",
    [](const Json::Value&) -> absl::StatusOr<Json::Value> { return Answer(); });
  const Json::Value params = Params(static_cast<int>(aState.range(0)));
  HttpRequest request;
  request.mMethod = "POST";
  const auto transport = [&](const std::string& aText, std::string& aAnswer) {
    request.mBody = aText;
    aAnswer = dispatcher.Handle(request).mBody;
    return true;
  };
  for (auto _ : aState) {
    Json::Value result;
    rpcshim::Call(transport, "heartbeat", params, result);
    benchmark::DoNotOptimize(result);
  }
  SetCounters(aState);
}

Json::Value Parse(Json::CharReader& aReader, const std::string& aText)
{
  Json::Value value;
  aReader.parse(aText.data(), aText.data() + aText.size(), &value, nullptr);
  return value;
}

void PlainJsoncpp(benchmark::State& aState)
{
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::FastWriter writer;
  const Json::Value params = Params(static_cast<int>(aState.range(0)));
  for (auto _ : aState) {
    Json::Value call(Json::objectValue);
    call["jsonrpc"] = "2.0";
    call["id"] = 1;
    call["method"] = "heartbeat";
    call["params"] = params;
    const Json::Value received = Parse(*reader, writer.write(call));
    Json::Value answer(Json::objectValue);
    answer["jsonrpc"] = "2.0";
    answer["id"] = received["id"];
    answer["result"] = Answer();
    const Json::Value result = Parse(*reader, writer.write(answer))["result"];
    benchmark::DoNotOptimize(result);
  }
  SetCounters(aState);
}

BENCHMARK(LibJsonRpcCpp)->Arg(0)->Arg(8)->Arg(64);
BENCHMARK(PlainJsoncpp)->Arg(0)->Arg(8)->Arg(64);

} // namespace
} // namespace foxtailbarrow::net

BENCHMARK_MAIN();
