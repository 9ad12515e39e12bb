package org.teaseldeal.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats socket addresses given as IP addresses; host names are never resolved. */
public final class IpAddresses {
  private static final int MAX_PORT = 65_535;

  private IpAddresses() {}

  /** Parses {@code host:port}, or {@code [host]:port} for IPv6. */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon <= 0) {
      throw malformed(address);
    }
    String host = address.substring(0, colon);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
    }
    return socketAddress(host, parsePort(address, address.substring(colon + 1)));
  }

  /** Returns the socket address of an IP address and a port. */
  public static InetSocketAddress socketAddress(String host, int port) {
    byte[] number = NetUtil.createByteArrayFromIpAddressString(host);
    if (number == null) {
      throw malformed(host);
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(number), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Formats as {@code host:port}, with brackets for IPv6. */
  public static String format(InetSocketAddress address) {
    return NetUtil.toSocketAddressString(address);
  }

  private static int parsePort(String address, String digits) {
    try {
      int port = Integer.parseInt(digits);
      if (port > 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      throw malformed(address);
    }
    throw malformed(address);
  }

  private static IllegalArgumentException malformed(String address) {
    return new IllegalArgumentException(
        "address was '%s', expected host:port by IP number".formatted(address));
  }
}
