#ifndef BILBERRYLEAD_LINK_QUIET_SOCKET_HPP
#define BILBERRYLEAD_LINK_QUIET_SOCKET_HPP

namespace bilberrylead::link
{

/// True if an idle connection is open and nothing has arrived on it: bytes
/// would answer no request, and an end means that the other side has closed it.
/// Never blocks. `socket` is the descriptor of a connected socket.
bool is_quiet(int socket);

} // namespace bilberrylead::link

#endif
