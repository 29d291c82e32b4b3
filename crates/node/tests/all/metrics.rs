use cadence::Counted;
use node::metrics;
use tokio::net::UdpSocket;

#[tokio::test]
async fn a_metric_arrives_with_the_name_of_its_daemon() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let client = metrics::client(&"d1".into(), Some(socket.local_addr().unwrap())).unwrap();
    client.count("route.answered", 3).unwrap();
    let mut buf = [0; 256];
    let (len, _) = socket.recv_from(&mut buf).await.unwrap();
    assert_eq!(&buf[..len], b"fireflynotch.route.answered:3|c|#daemon:d1");
}
