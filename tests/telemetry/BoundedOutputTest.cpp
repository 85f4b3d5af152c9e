#include <array>
#include <string>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "foxtailbarrow/Time.h"
#include "src/telemetry/BoundedOutput.h"

namespace foxtailbarrow::test {

namespace {

constexpr std::size_t kMaxBytes = 64UL * 1024;
constexpr int kReadEnd = 0;
constexpr int kWriteEnd = 1;

TEST(BoundedOutput, WritesLinesInOrder)
{
  std::array<int, 2> ends{};
  ASSERT_EQ(::pipe(ends.data()), 0);
  BoundedOutput output(ends[kWriteEnd]);
  output.Write("one\n");
  output.Write("two\n");
  output.Flush();
  std::array<char, 64> text{};
  const ssize_t count = ::read(ends[kReadEnd], text.data(), text.size());
  EXPECT_EQ(std::string(text.data(), static_cast<std::size_t>(count)),
            "one\ntwo\n");
  ::close(ends[kReadEnd]);
}

TEST(BoundedOutput, DoesNotBlockOnAStalledReader)
{
  std::array<int, 2> ends{};
  ASSERT_EQ(::pipe(ends.data()), 0);
  // Never destroyed: its thread stays blocked on the reader.
  auto* output = new BoundedOutput(ends[kWriteEnd], kMaxBytes);
  const std::string line(1023, 'x');
  for (int i = 0; i < 1000; ++i) {
    output->Write(line + "\n"); // 1 MB, more than the pipe and the buffer hold.
  }
  EXPECT_GT(output->Dropped(), 0U);
  // The reader resumes: the queued lines and the number of dropped ones arrive.
  std::string text;
  std::array<char, 4096> part{};
  while (text.find("log-lines-dropped") == std::string::npos) {
    const ssize_t count = ::read(ends[kReadEnd], part.data(), part.size());
    ASSERT_GT(count, 0);
    text.append(part.data(), static_cast<std::size_t>(count));
  }
  EXPECT_NE(text.find("count="), std::string::npos);
}

} // namespace

} // namespace foxtailbarrow::test
