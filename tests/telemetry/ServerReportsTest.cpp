#include <gtest/gtest.h>

#include "src/telemetry/ServerReports.h"
#include "tests/net/NetFixture.h"

namespace foxtailbarrow {

namespace {

class ServerReportsTest : public net::NetTest
{};

TEST_F(ServerReportsTest, CountsRefusalsByReason)
{
  const Endpoint endpoint = StartServer(net::Echo);
  Metrics metrics;
  ServerReports reports(metrics);
  reports.Add("callers", *mServer);
  const net::RawSocket socket(endpoint);
  socket.Send("hello\r\n\r\n");
  socket.ReadAll();
  const std::string text = metrics.Text();
  EXPECT_NE(std::string::npos,
            text.find("foxtailbarrow_server_refusals{reason=\"invalid\","
                      "server=\"callers\"} 1"))
    << text;
  EXPECT_NE(std::string::npos,
            text.find("foxtailbarrow_server_connections{server=\"callers\"}"))
    << text;
}

TEST_F(ServerReportsTest, MayOutliveTheServer)
{
  StartServer(net::Echo);
  Metrics metrics;
  ServerReports reports(metrics);
  reports.Add("callers", *mServer);
  mServer.reset();
  reports.Round();
  EXPECT_NE(std::string::npos, metrics.Text().find("server_connections"));
}

} // namespace

} // namespace foxtailbarrow
