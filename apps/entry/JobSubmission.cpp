#include "apps/entry/JobSubmission.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "absl/strings/str_cat.h"

#include "src/core/job/ShardOf.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::size_t kMaxSubmissionBytes = std::size_t{ 64 } * 1024;

std::string Hex(std::uint64_t aHigh, std::uint64_t aLow)
{
  return absl::StrCat(absl::Hex(aHigh, absl::kZeroPad16),
                      absl::Hex(aLow, absl::kZeroPad16));
}

} // namespace

absl::StatusOr<JobSpec> ParseSubmission(std::string_view aBody,
                                        std::string_view aUnique)
{
  absl::StatusOr<Json::Value> body =
    ParseJson(aBody, { .mMaxBytes = kMaxSubmissionBytes });
  if (!body.ok()) {
    return body.status();
  }
  if (!body->isObject()) {
    return absl::InvalidArgumentError("body: allowed one JSON object");
  }
  if (body->isMember("id")) {
    return absl::InvalidArgumentError(
      "id: not allowed; the response contains the job's id");
  }
  // Placeholder: the id is built from the customer, which is not validated yet.
  (*body)["id"] = "unknown.unknown";
  absl::StatusOr<JobSpec> spec = FromJson<JobSpec>(*body);
  if (spec.ok()) {
    spec->mId = JobIdFor(spec->mCustomer, aUnique);
  }
  return spec;
}

std::string UniquePart(std::string_view aIdempotencyKey, std::uint64_t aRandom)
{
  if (aIdempotencyKey.empty()) {
    return absl::StrCat("r", absl::Hex(aRandom, absl::kZeroPad16));
  }
  const XXH128_hash_t hash =
    XXH3_128bits(aIdempotencyKey.data(), aIdempotencyKey.size());
  return "k" + Hex(hash.high64, hash.low64);
}

} // namespace foxtailbarrow::entry
