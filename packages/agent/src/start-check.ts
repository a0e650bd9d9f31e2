/**
 * Check right before the first byte of a request is written to a backend server's connection. It
 * runs once a connection is open, so a call that ends before the check was certainly never sent.
 */
import type { Dispatcher } from 'undici';

/** Creates a client that aborts a call unless `mayStart` returns true right before it is sent. */
export function createCheckedClient(client: Dispatcher, mayStart: () => boolean): Dispatcher {
  return client.compose((dispatch) => (options, handler) => {
    const checked: Dispatcher.DispatchHandler = {
      onRequestStart(controller, context) {
        if (mayStart()) handler.onRequestStart?.(controller, context);
        else controller.abort(new Error('not started'));
      },
      onResponseStart: (controller, status, headers, message) =>
        handler.onResponseStart?.(controller, status, headers, message),
      onResponseData: (controller, data) => handler.onResponseData?.(controller, data),
      onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
      onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    };
    return dispatch(options, checked);
  });
}
