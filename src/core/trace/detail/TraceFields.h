#pragma once

#include <optional>

#include "src/core/message/detail/ContractFields.h"
#include "src/core/message/detail/JobFields.h"
#include "src/core/trace/TraceEvents.h"
#include "src/core/trace/TraceHeader.h"

/// Field tables of the lines of a trace, for the readers and writers of
/// src/core/message.
namespace foxtailbarrow::detail {

inline constexpr std::int64_t kMaxTraceMs = 24LL * 3600 * 1000;
inline constexpr std::int64_t kMaxTraceBodyBytes = 1024LL * 1024;
inline constexpr std::int64_t kMaxServiceUs = 600LL * 1000 * 1000;
inline constexpr std::int64_t kMaxTraceEvictions = 1'000'000;

using TraceNumber = NumberRule<std::int64_t>;
inline constexpr TraceNumber kTraceTime{ 0, kMaxTraceMs };
inline constexpr TraceNumber kPositiveTraceTime{ 1, kMaxTraceMs };
inline constexpr NumberRule<double> kTraceShare{ 0, 1 };

template<typename Visitor, Is<ExpectedOutcomes> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("maxP99Ms",
                    aMessage.mMaxP99Ms,
                    NumberRule<double>{ 0, double{ kMaxTraceMs } });
  aVisitor.Required("minAnswered", aMessage.mMinAnswered, kTraceShare);
  aVisitor.Required("maxNotRunShare", aMessage.mMaxNotRunShare, kTraceShare);
  aVisitor.Required(
    "minJobsAsStated", aMessage.mMinJobsAsExpected, kTraceShare);
  aVisitor.Required("maxEvictions",
                    aMessage.mMaxEvictions,
                    TraceNumber{ 0, kMaxTraceEvictions });
  aVisitor.Required("jobsDeadlineMs", aMessage.mJobsDeadlineMs, kTraceTime);
}

template<typename Visitor, Is<TraceHeader> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("format",
                    aMessage.mFormat,
                    NumberRule<std::uint32_t>{ kTraceFormat, kTraceFormat });
  aVisitor.Required("deployment", aMessage.mDeployment);
  aVisitor.Required("seed", aMessage.mSeed);
  aVisitor.Required("durationMs", aMessage.mDurationMs, kPositiveTraceTime);
  aVisitor.Required("outcomes", aMessage.mOutcomes);
}

template<typename Visitor, Is<TraceRequest> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("atMs", aMessage.mAtMs, kTraceTime);
  aVisitor.Required("customer", aMessage.mCustomer, kPlainId);
  aVisitor.Required("method", aMessage.mMethod);
  aVisitor.Required("path", aMessage.mPath);
  aVisitor.Required(
    "bodyBytes", aMessage.mBodyBytes, TraceNumber{ 0, kMaxTraceBodyBytes });
  aVisitor.Required("idempotent", aMessage.mIdempotent);
  aVisitor.Required("deadlineMs", aMessage.mDeadlineMs, kPositiveTraceTime);
  aVisitor.Required(
    "serviceUs", aMessage.mServiceUs, TraceNumber{ 0, kMaxServiceUs });
}

template<typename Visitor, Is<TraceJob> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("atMs", aMessage.mAtMs, kTraceTime);
  aVisitor.Required("id", aMessage.mId, kPlainId);
  aVisitor.Required("customer", aMessage.mCustomer, kPlainId);
  aVisitor.Required("kind", aMessage.mKind);
  aVisitor.Required("priority", aMessage.mPriority);
  aVisitor.Required("declared", aMessage.mDeclared);
  aVisitor.Required("declaredRunMs", aMessage.mDeclaredRunMs, kTraceTime);
  aVisitor.Required("runMs", aMessage.mRunMs, kTraceTime);
  aVisitor.Optional("used", aMessage.mUsed);
  aVisitor.Required("program", aMessage.mProgram);
  aVisitor.Optional("fails", aMessage.mFails);
  aVisitor.Required("endState", aMessage.mEndState);
}

template<typename Visitor, Is<TraceCancel> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("atMs", aMessage.mAtMs, kTraceTime);
  aVisitor.Required("job", aMessage.mJob, kPlainId);
}

/// The contract document as operators write it.
struct TraceContractDocument
{
  Contract mContract;
};

template<typename Visitor, Is<TraceContractDocument> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  DocumentFields(aVisitor, aMessage.mContract);
}

/// A line of the text form; exactly one member is set.
struct TraceContractLine
{
  std::int64_t mAtMs = 0;
  TraceContractDocument mDocument;
};

template<typename Visitor, Is<TraceContractLine> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("atMs", aMessage.mAtMs, kTraceTime);
  aVisitor.Required("document", aMessage.mDocument);
}

struct TraceLine
{
  std::optional<TraceHeader> mHeader;
  std::optional<TraceRequest> mRequest;
  std::optional<TraceJob> mJob;
  std::optional<TraceCancel> mCancel;
  std::optional<TraceContractLine> mContract;
};

template<typename Visitor, Is<TraceLine> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("header", aMessage.mHeader);
  aVisitor.Optional("request", aMessage.mRequest);
  aVisitor.Optional("job", aMessage.mJob);
  aVisitor.Optional("cancel", aMessage.mCancel);
  aVisitor.Optional("contract", aMessage.mContract);
}

} // namespace foxtailbarrow::detail
