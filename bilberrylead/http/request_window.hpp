#ifndef BILBERRYLEAD_HTTP_REQUEST_WINDOW_HPP
#define BILBERRYLEAD_HTTP_REQUEST_WINDOW_HPP

#include <cstddef>
#include <deque>

namespace bilberrylead::http
{

/// Which requests of one connection may be dispatched, and whether an answer
/// ends the connection. Its requests are numbered by their place, the first
/// unanswered one is place 0; answers are sent in that order.
class request_window
{
public:
    /// What the decisions need to know of a request.
    struct traits
    {
        /// True if it may run more than once.
        bool idempotent = false;
        /// True if its body has been received whole, or it has none.
        bool received = false;
        /// True if its caller wants the connection kept after the answer.
        bool keeps_connection = false;
    };

    /// A window of at most so many requests, at least 1.
    explicit request_window(std::size_t most_requests)
        : most(most_requests < 1 ? 1 : most_requests)
    {
    }

    /// True if another request may be dispatched behind those in the window
    /// at all, whatever it is. `stopping`: the host is about to stop.
    bool has_room(bool stopping) const;

    /// True if a request without a body may be dispatched now. One that
    /// finds the window empty always may, unless the connection is ending.
    bool admits(bool idempotent, bool stopping) const;

    /// The request is dispatched. Only if it is first or admitted.
    void add(traits const& request);

    /// The body of the newest request has been received whole.
    void set_received();

    /// True if the connection goes on after the answer of the first
    /// request, whose head is sent now. A stop closes behind the last
    /// request only. If false, nothing more is admitted.
    bool begin_answer(bool stopping);

    /// The answer of the first and only request ends the connection.
    void close_after_first();

    /// The first request's answer has been sent.
    void remove_first();

    /// Dispatched requests whose answers have not been sent whole.
    std::size_t size() const
    {
        return this->requests.size();
    }

private:
    std::size_t most;
    std::deque<traits> requests;
    bool ending = false;
};

} // namespace bilberrylead::http

#endif
