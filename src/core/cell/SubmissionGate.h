#pragma once

#include <algorithm>
#include <cstddef>

namespace foxtailbarrow::cell {

/// Decides at one scheduler whether a submission may be stored without asking
/// the cell's owner, which may have no memory left for it. The jobs that this
/// scheduler stores while the owner does not answer are bounded by
/// kMaxUnreportedBytes. Does no I/O.
class SubmissionGate
{
public:
  static constexpr std::size_t kMaxUnreportedBytes = std::size_t{ 4 } << 20U;

  /// True when the owner must be asked first.
  bool MustAsk() const
  {
    return mFull || mUnreportedBytes >= kMaxUnreportedBytes;
  }

  /// A job of this size was stored, and the owner is about to be told.
  void OnStored(std::size_t aBytes) { mUnreportedBytes += aBytes; }
  /// The owner knows of a job of this size that was stored.
  void OnReported(std::size_t aBytes, bool aFull)
  {
    mUnreportedBytes -= std::min(mUnreportedBytes, aBytes);
    mFull = aFull;
  }
  /// The owner has answered whether it accepts jobs.
  void OnOwnerAnswer(bool aAccepts)
  {
    mFull = !aAccepts;
    mUnreportedBytes = aAccepts ? 0 : mUnreportedBytes;
  }

private:
  bool mFull = false;
  std::size_t mUnreportedBytes = 0;
};

} // namespace foxtailbarrow::cell
