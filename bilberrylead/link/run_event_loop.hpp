#ifndef BILBERRYLEAD_LINK_RUN_EVENT_LOOP_HPP
#define BILBERRYLEAD_LINK_RUN_EVENT_LOOP_HPP

namespace boost::asio
{
class io_context;
}

namespace bilberrylead::link
{

/// Runs the handlers of `io` until it is stopped or has no work left. An
/// exception that leaves a handler is logged and ends that handler, which
/// destroys what it owns: its connection. The other connections go on.
///
/// Whatever changes the state that all connections share must be noexcept: an
/// exception there leaves a state that is not known, and ends the process.
void run_event_loop(boost::asio::io_context& io);

} // namespace bilberrylead::link

#endif
