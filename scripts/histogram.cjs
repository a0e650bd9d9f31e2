// The histogram builder of hdr-histogram-js without its WebAssembly variant, which takes seven
// times as much processor time to load.
const { constructorFromBucketSize } = require('hdr-histogram-js/dist/JsHistogramFactory');

exports.build = ({ bitBucketSize, highestTrackableValue, numberOfSignificantValueDigits }) => {
  const Histogram = constructorFromBucketSize(bitBucketSize);
  const histogram = new Histogram(1, highestTrackableValue, numberOfSignificantValueDigits);
  histogram.autoResize = true;
  return histogram;
};
