#include "src/core/message/Json.h"
#include "src/core/trace/Trace.h"
#include "src/core/trace/detail/TraceFields.h"

namespace foxtailbarrow {

namespace {

using detail::TraceLine;

struct LineOf
{
  TraceLine operator()(const TraceRequest& aRequest) const
  {
    TraceLine line;
    line.mRequest = aRequest;
    return line;
  }

  TraceLine operator()(const TraceJob& aJob) const
  {
    TraceLine line;
    line.mJob = aJob;
    return line;
  }

  TraceLine operator()(const TraceCancel& aCancel) const
  {
    TraceLine line;
    line.mCancel = aCancel;
    return line;
  }

  TraceLine operator()(const TraceContract& aContract) const
  {
    TraceLine line;
    line.mContract =
      detail::TraceContractLine{ aContract.mAtMs, { aContract.mContract } };
    return line;
  }
};

void Append(std::string& aText, const TraceLine& aLine)
{
  aText += FormatJson(detail::ObjectWriter::Write(aLine));
  aText += '\n';
}

} // namespace

std::string FormatTrace(const Trace& aTrace)
{
  std::string text;
  TraceLine header;
  header.mHeader = aTrace.mHeader;
  Append(text, header);
  for (const TraceEvent& event : aTrace.mEvents) {
    Append(text, std::visit(LineOf{}, event));
  }
  return text;
}

} // namespace foxtailbarrow
