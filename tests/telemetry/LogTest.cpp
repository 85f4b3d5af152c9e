#include "src/telemetry/Log.h"

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

TEST(Log, FormatsKeysAndValuesOnOneLine)
{
  EXPECT_EQ(FormatLogLine("agent-draining",
                          { { "agent", AgentId("agent-3") },
                            { "at", Endpoint{ "127.0.0.1", 80 } },
                            { "waiting", 4 },
                            { "reason", "two words\nand a line" },
                            { "empty", "" } }),
            "event=agent-draining agent=agent-3 at=127.0.0.1:80 waiting=4 "
            "reason=\"two words\\nand a line\" empty=\"\"");
}

TEST(Log, SendsLinesOfTheLevelToStandardError)
{
  testing::internal::CaptureStderr();
  ConfigureLog(LogLevel::Info);
  LogChange("started", { { "id", "entry-1" } });
  LogDebug("unseen");
  ConfigureLog(LogLevel::Error);
  LogChange("unseen");
  const std::string text = testing::internal::GetCapturedStderr();
  EXPECT_NE(text.find("level=INFO event=started id=entry-1\n"),
            std::string::npos)
    << text;
  EXPECT_EQ(text.find("unseen"), std::string::npos) << text;
}

} // namespace
} // namespace foxtailbarrow
