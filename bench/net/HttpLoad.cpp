// Throughput and latency over loopback of an HttpServer that echoes (echo), of
// one that forwards with HttpClient (proxy) and with a new connection per
// request (connect); or the memory per idle connection (idle). Throughput and
// latency are valid only on an otherwise idle machine. The processor time of
// the threads under test is also reported, since other load distorts it less.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <pthread.h>
#include <unistd.h>

#include <boost/asio/ip/address_v4.hpp>

#include <CLI/CLI.hpp>

#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"
#include "src/net/detail/Connection.h"
#include "src/net/detail/RuntimeImpl.h"

namespace foxtailbarrow::net {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxResponseBytes = 64UL * 1024 * 1024;

struct Options
{
  std::string mMode = "echo";
  unsigned mConnections = 16;
  unsigned mServerThreads = 1;
  unsigned mLoadThreads = 2;
  double mSeconds = 3;
  std::size_t mBodyBytes = 64;
};

struct Load
{
  std::atomic<std::uint64_t> mFailures{ 0 };
  std::atomic<unsigned> mRunning{ 0 };
  std::vector<std::vector<std::uint32_t>> mLatencies; ///< Nanoseconds.
};

std::string RequestText(std::size_t aBodyBytes)
{
  return "POST /sync HTTP/1.1\r\nHost: 127.0.0.1\r\n"
         "Foxtailbarrow-Customer: trasowka\r\n"
         "Foxtailbarrow-Deadline-Ms: 5000\r\nContent-Length: " +
         std::to_string(aBodyBytes) + "\r\n\r\n" + std::string(aBodyBytes, 'x');
}

/// Length of the response at the start of `aText`, 0 while it is incomplete.
std::size_t ResponseBytes(std::string_view aText)
{
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t end = aText.find("\r\n\r\n");
  const std::size_t length = aText.find(kLength);
  if (end == std::string_view::npos || length > end) {
    return 0;
  }
  const std::size_t bytes =
    end + 4 + std::strtoul(aText.data() + length + kLength.size(), nullptr, 10);
  return bytes <= aText.size() ? bytes : 0;
}

boost::asio::ip::tcp::endpoint PeerOf(const Endpoint& aEndpoint)
{
  return { boost::asio::ip::make_address_v4(aEndpoint.mAddress),
           aEndpoint.mPort };
}

/// Opens a new connection for each request.
void RunConnects(const Endpoint& aEndpoint,
                 const std::string& aRequest,
                 Clock::time_point aEnd,
                 Load& aLoad,
                 std::vector<std::uint32_t>& aLatencies)
{
  const auto never = detail::Connection::TimePoint::max();
  Clock::time_point begin = Clock::now();
  while (begin < aEnd) {
    detail::Connection connection(detail::RuntimeThread::Current()->Io());
    bool good = !connection.Connect(PeerOf(aEndpoint), never);
    std::size_t written = 0;
    good = good && !connection.Write(aRequest, {}, never, written);
    while (good && ResponseBytes(connection.Buffered()) == 0) {
      good = !connection.Read(never, kMaxResponseBytes);
    }
    aLoad.mFailures += good ? 0 : 1;
    const Clock::time_point now = Clock::now();
    aLatencies.push_back(static_cast<std::uint32_t>((now - begin).count()));
    begin = now;
  }
  aLoad.mRunning.fetch_sub(1);
}

/// Sends on one connection, each request after the response to the previous
/// one.
void RunConnection(const Endpoint& aEndpoint,
                   const std::string& aRequest,
                   Clock::time_point aEnd,
                   Load& aLoad,
                   std::vector<std::uint32_t>& aLatencies)
{
  detail::Connection connection(detail::RuntimeThread::Current()->Io());
  const auto never = detail::Connection::TimePoint::max();
  bool good = !connection.Connect(PeerOf(aEndpoint), never);
  Clock::time_point begin = Clock::now();
  while (good && begin < aEnd) {
    std::size_t written = 0;
    good = !connection.Write(aRequest, {}, never, written);
    while (good && ResponseBytes(connection.Buffered()) == 0) {
      good = !connection.Read(never, kMaxResponseBytes);
    }
    connection.Consume(connection.Buffered().size());
    const Clock::time_point now = Clock::now();
    aLatencies.push_back(static_cast<std::uint32_t>((now - begin).count()));
    begin = now;
  }
  aLoad.mFailures += good ? 0 : 1;
  aLoad.mRunning.fetch_sub(1);
}

double ThreadSeconds(std::vector<pthread_t>& aThreads)
{
  double sum = 0;
  for (const pthread_t thread : aThreads) {
    clockid_t clock = 0;
    timespec time{};
    pthread_getcpuclockid(thread, &clock);
    clock_gettime(clock, &time);
    sum += static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
  }
  return sum;
}

std::vector<pthread_t> ThreadsOf(FiberRuntime& aRuntime)
{
  std::vector<pthread_t> threads(aRuntime.Threads());
  for (unsigned thread = 0; thread < threads.size(); ++thread) {
    std::atomic<bool> done{ false };
    aRuntime.SpawnOn(thread, [&, thread] {
      threads[thread] = pthread_self();
      pthread_setname_np(pthread_self(), "measured"); // For profilers.
      done = true;
      done.notify_all();
    });
    done.wait(false);
  }
  return threads;
}

void Report(const Options& aOptions, Load& aLoad, double aBusy)
{
  std::vector<std::uint32_t> all;
  for (const auto& latencies : aLoad.mLatencies) {
    all.insert(all.end(), latencies.begin(), latencies.end());
  }
  std::sort(all.begin(), all.end());
  const auto micros = [&all](double aQuantile) {
    const auto last = static_cast<double>(all.size() - 1);
    return all[static_cast<std::size_t>(aQuantile * last)] * 1e-3;
  };
  const auto responses = static_cast<double>(all.size());
  std::printf("%-6s threads %u connections %u body %zu: %.0f req/s, "
              "p50 %.0f us, p99 %.0f us, p99.9 %.0f us, failures %lu, "
              "busy %.0f%%, %.0f req per processor second\n",
              aOptions.mMode.c_str(),
              aOptions.mServerThreads,
              aOptions.mConnections,
              aOptions.mBodyBytes,
              responses / aOptions.mSeconds,
              micros(0.5),
              micros(0.99),
              micros(0.999),
              static_cast<unsigned long>(aLoad.mFailures.load()),
              100 * aBusy / (aOptions.mSeconds * aOptions.mServerThreads),
              responses / aBusy);
}

HttpResponse Echo(HttpRequest& aRequest)
{
  HttpResponse response;
  response.mHeaders.Append("Content-Type", "application/octet-stream");
  response.mBody = std::move(aRequest.mBody);
  return response;
}

void RunLoad(const Options& aOptions,
             FiberRuntime& aServers,
             const Endpoint& aEndpoint)
{
  FiberRuntime loadRuntime(aOptions.mLoadThreads);
  const std::string request = RequestText(aOptions.mBodyBytes);
  Load load;
  load.mLatencies.resize(aOptions.mConnections);
  load.mRunning = aOptions.mConnections;
  std::vector<pthread_t> threads = ThreadsOf(aServers);
  const double before = ThreadSeconds(threads);
  const auto end =
    Clock::now() + std::chrono::duration_cast<Clock::duration>(
                     std::chrono::duration<double>(aOptions.mSeconds));
  for (unsigned index = 0; index < aOptions.mConnections; ++index) {
    loadRuntime.Spawn([&, index] {
      const auto run =
        aOptions.mMode == "connect" ? RunConnects : RunConnection;
      run(aEndpoint, request, end, load, load.mLatencies[index]);
    });
  }
  while (load.mRunning > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  Report(aOptions, load, ThreadSeconds(threads) - before);
}

std::size_t ResidentBytes()
{
  std::size_t pages = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/self/statm") >> pages >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Measures the memory of connections that are idle after one request.
void MeasureIdle(const Options& aOptions,
                 FiberRuntime& aClients,
                 HttpServer& aServer)
{
  const std::string request = RequestText(aOptions.mBodyBytes);
  std::vector<std::unique_ptr<detail::Connection>> connections;
  const std::size_t before = ResidentBytes();
  aClients.RunAndWait([&] {
    const auto never = detail::Connection::TimePoint::max();
    for (unsigned index = 0; index < aOptions.mConnections; ++index) {
      connections.push_back(std::make_unique<detail::Connection>(
        detail::RuntimeThread::Current()->Io()));
      std::size_t written = 0;
      connections.back()->Connect(PeerOf(aServer.ListeningEndpoint()), never);
      connections.back()->Write(request, {}, never, written);
    }
  });
  while (aServer.Counters().mRequests < aOptions.mConnections ||
         aServer.RequestsInProgress() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  std::printf("idle: %u connections, %zu bytes resident each, both ends\n",
              aOptions.mConnections,
              (ResidentBytes() - before) / aOptions.mConnections);
  aClients.RunAndWait([&] { connections.clear(); });
}

void RunBench(const Options& aOptions)
{
  FiberRuntime servers(aOptions.mServerThreads);
  FiberRuntime backends(2);
  HttpClient client(servers);
  auto backend = HttpServer::Start(backends, { "127.0.0.1", 0 }, Echo);
  const Endpoint backendEndpoint = (*backend)->ListeningEndpoint();
  HttpServer::Handler handler = Echo;
  if (aOptions.mMode == "proxy") {
    handler = [&client, backendEndpoint](HttpRequest& aRequest) {
      auto response =
        client.Call(backendEndpoint, aRequest, std::chrono::seconds(5));
      return response.ok() ? *std::move(response) : HttpResponse{ 502, {}, "" };
    };
  }
  auto server =
    HttpServer::Start(servers, { "127.0.0.1", 0 }, std::move(handler));
  if (aOptions.mMode == "idle") {
    FiberRuntime clients(1);
    MeasureIdle(aOptions, clients, **server);
    return;
  }
  RunLoad(aOptions, servers, (*server)->ListeningEndpoint());
}

} // namespace
} // namespace foxtailbarrow::net

int main(int argc, char** argv)
{
  foxtailbarrow::net::Options options;
  CLI::App app("Load over loopback on HttpServer and HttpClient");
  app.add_option("--mode", options.mMode)
    ->check(CLI::IsMember({ "echo", "proxy", "connect", "idle" }));
  app.add_option("--connections", options.mConnections);
  app.add_option("--threads", options.mServerThreads);
  app.add_option("--load-threads", options.mLoadThreads);
  app.add_option("--seconds", options.mSeconds);
  app.add_option("--body", options.mBodyBytes);
  CLI11_PARSE(app, argc, argv);
  foxtailbarrow::net::RunBench(options);
  return 0;
}
