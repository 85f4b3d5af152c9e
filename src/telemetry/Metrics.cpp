#include "src/telemetry/Metrics.h"

#include <utility>

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace foxtailbarrow {

namespace {

constexpr std::string_view kPrefix = "foxtailbarrow_";

std::string FullName(std::string_view aName)
{
  return std::string(kPrefix).append(aName);
}

} // namespace

const prometheus::Histogram::BucketBoundaries& LatencyBuckets()
{
  static const prometheus::Histogram::BucketBoundaries sBuckets = {
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
    0.05,   0.1,     0.25,   0.5,   1.0,    2.5,   5.0,  10.0,
  };
  return sBuckets;
}

Metrics::Metrics()
  : mRegistry(std::make_unique<prometheus::Registry>())
{
}

Metrics::~Metrics() = default;

prometheus::Counter& Metrics::Counter(std::string_view aName,
                                      std::string_view aHelp,
                                      const MetricLabels& aLabels)
{
  return prometheus::BuildCounter()
    .Name(FullName(aName))
    .Help(std::string(aHelp))
    .Register(*mRegistry)
    .Add(aLabels);
}

prometheus::Gauge& Metrics::Gauge(std::string_view aName,
                                  std::string_view aHelp,
                                  const MetricLabels& aLabels)
{
  return prometheus::BuildGauge()
    .Name(FullName(aName))
    .Help(std::string(aHelp))
    .Register(*mRegistry)
    .Add(aLabels);
}

prometheus::Histogram& Metrics::Histogram(
  std::string_view aName,
  std::string_view aHelp,
  const MetricLabels& aLabels,
  const prometheus::Histogram::BucketBoundaries& aBuckets)
{
  return prometheus::BuildHistogram()
    .Name(FullName(aName))
    .Help(std::string(aHelp))
    .Register(*mRegistry)
    .Add(aLabels, aBuckets);
}

void Metrics::SampledGauge(std::string_view aName,
                           std::string_view aHelp,
                           std::function<double()> aRead,
                           const MetricLabels& aLabels)
{
  prometheus::Gauge& gauge = Gauge(aName, aHelp, aLabels);
  const std::lock_guard lock(mMutex);
  mSamples.push_back({ &gauge, std::move(aRead) });
}

std::string Metrics::Text() const
{
  {
    const std::lock_guard lock(mMutex);
    for (const Sample& sample : mSamples) {
      sample.mGauge->Set(sample.mRead());
    }
  }
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace foxtailbarrow
