CREATE TABLE writes (name TEXT PRIMARY KEY, at DOUBLE PRECISION NOT NULL, shard BIGINT NOT NULL, zone BIGINT NOT NULL, state TEXT NOT NULL) WITHOUT ROWID;
INSERT INTO writes VALUES ('scontrino/3b4d60021/order-1', 1700000000100.5, 3, 1, 'served');
INSERT INTO writes VALUES ('scontrino/3b4d60021/order-2', 1700000000200.0, 4, 2, 'unknown');
INSERT INTO writes VALUES ('scontrino/3b4d60021/order-3', 1700000000300.0, 5, 0, 'never');
INSERT INTO writes VALUES ('scontrino/3b4d60021/order-4', 1700000000400.0, 6, 1, 'sent');
