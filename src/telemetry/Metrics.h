#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace prometheus {
class Registry;
}

namespace foxtailbarrow {

/// Labels of one time series, for example { { "reason", "rate-limit" } }.
using MetricLabels = std::map<std::string, std::string>;

/// Upper bounds of latency buckets, in seconds, from 100 us to 10 s.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets();

/// The process's metrics. Names get the prefix `foxtailbarrow_`. The same name
/// and labels always return the same series. The references stay valid as long
/// as this object; updating them takes no lock. All methods are callable from
/// any thread. Throws std::invalid_argument for a name that Prometheus does not
/// allow or that is in use with another type, which is a programming error that
/// shows at start-up.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  prometheus::Counter& Counter(std::string_view aName,
                               std::string_view aHelp,
                               const MetricLabels& aLabels = {});

  prometheus::Gauge& Gauge(std::string_view aName,
                           std::string_view aHelp,
                           const MetricLabels& aLabels = {});

  prometheus::Histogram& Histogram(
    std::string_view aName,
    std::string_view aHelp,
    const MetricLabels& aLabels = {},
    const prometheus::Histogram::BucketBoundaries& aBuckets = LatencyBuckets());

  /// Gauge whose value is read by `aRead` whenever Text() is called.
  void SampledGauge(std::string_view aName,
                    std::string_view aHelp,
                    std::function<double()> aRead,
                    const MetricLabels& aLabels = {});

  /// Every metric in the Prometheus text format.
  std::string Text() const;

private:
  struct Sample
  {
    prometheus::Gauge* mGauge = nullptr;
    std::function<double()> mRead;
  };

  std::unique_ptr<prometheus::Registry> mRegistry;
  mutable std::mutex mMutex; ///< Guards mSamples.
  std::vector<Sample> mSamples;
};

} // namespace foxtailbarrow
