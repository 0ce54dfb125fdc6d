"""Who is present among a tier's nodes: SWIM with Lifeguard's extensions over the platform's datagrams."""
