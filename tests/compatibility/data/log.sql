CREATE TABLE board (key TEXT PRIMARY KEY, version INTEGER NOT NULL, data BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE board_about (one INTEGER PRIMARY KEY CHECK (one = 1), schema INTEGER NOT NULL, version INTEGER NOT NULL) WITHOUT ROWID;
INSERT INTO board VALUES ('beats/r/load/n1', 14, CAST('{"00000003b4d60021":12.5,"00000003b4d60022":0.25}' AS BLOB));
INSERT INTO board VALUES ('beats/r/n1', 14, CAST('[3,120,4,86400123]' AS BLOB));
INSERT INTO board VALUES ('beats/w/n1', 13, CAST('[1,"dddddddddddd",0,[]]' AS BLOB));
INSERT INTO board VALUES ('fleet/c', 10, CAST('[7,1,0,[[12,2000.0,7]]]' AS BLOB));
INSERT INTO board VALUES ('fleet/h', 11, CAST('[17,4,870,82,1]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/ask/n1', 6, CAST('[7,51,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/ask/n4', 11, CAST('[16,6,true]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/clear/n1', 6, CAST('[10,47,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/clear/n2', 9, CAST('[14,44,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/drain/s-1', 6, CAST('[9,97,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/epoch', 6, CAST('[11,28,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/member/n1', 6, CAST('[5,79,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/member/n2', 11, CAST('[15,31,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/plan/p1', 6, CAST('[6,274,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/k/ticket/n1', 6, CAST('[8,131,false]' AS BLOB));
INSERT INTO board VALUES ('fleet/m/0000000000000005', 6, CAST('["member/n1","coordinator",7,1,false]
{"name":"n1","life":3,"version":"1.4","site":"lodi","state":"leaving"}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/0000000000000006', 6, CAST('["plan/p1","coordinator",7,1,false]
{"name":"p1","members":["n1","n2"],"most":2,"per_site":3,"share":0.25,"to":"1.5","before":"1.4","canary":true,"settings":true,"boxes":["s-1","s-2"],"gone":true,"retire":"lodi","then":["s-3"],"step":4,"stage":"halted","released":["n3"],"later":["n4"],"why":"too slow"}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/0000000000000007', 6, CAST('["ask/n1","coordinator",7,1,false]
{"name":"n1","plan":"p1","life":3,"number":5}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/0000000000000008', 6, CAST('["ticket/n1","coordinator",7,1,false]
{"name":"n1","plan":"p1","life":3,"number":5,"token":7,"to":"1.5","last":true,"settings":true,"going":true,"took":"taken"}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/0000000000000009', 6, CAST('["drain/s-1","coordinator",7,1,false]
{"name":"s-1","plan":"p1","token":7,"started":1700000000.5,"begun":41,"phase":"warming"}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/000000000000000a', 6, CAST('["clear/n1","coordinator",7,1,false]
{"name":"n1","life":3,"drains":[41,43]}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/000000000000000b', 6, CAST('["epoch","coordinator",7,1,false]
{"name":"n1","token":7}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/000000000000000c', 8, CAST('["member/n2","n1",1,5,false]
{"name":"n2","life":0}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/000000000000000d', 8, CAST('["ask/n4","n1",1,5,false]
{"name":"n4","plan":"p1","life":3,"number":5}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/000000000000000e', 9, CAST('["clear/n2","n1",1,6,false]
{"name":"n2","life":1,"drains":[41]}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/000000000000000f', 11, CAST('["member/n2","n1",1,7,false]
{"name":"n2","life":1}' AS BLOB));
INSERT INTO board VALUES ('fleet/m/0000000000000010', 11, CAST('["ask/n4","n1",1,7,true]
' AS BLOB));
INSERT INTO board VALUES ('fleet/w/coordinator', 6, CAST('[7,"bbbbbbbbbbbb",1,[5,6,7,8,9,10,11]]' AS BLOB));
INSERT INTO board VALUES ('fleet/w/n1', 11, CAST('[1,"aaaaaaaaaaaa",7,[15,16]]' AS BLOB));
INSERT INTO board VALUES ('homes/h', 12, CAST('[3,0,86,0,0]' AS BLOB));
INSERT INTO board VALUES ('homes/k/00000003b4d60021', 12, CAST('[1,45,false]' AS BLOB));
INSERT INTO board VALUES ('homes/k/00000003b4d60022', 12, CAST('[2,41,false]' AS BLOB));
INSERT INTO board VALUES ('homes/m/0000000000000001', 12, CAST('["00000003b4d60021","coordinator",7,1,false]
["milano","n2","lodi","n1",2]' AS BLOB));
INSERT INTO board VALUES ('homes/m/0000000000000002', 12, CAST('["00000003b4d60022","coordinator",7,1,false]
["lodi","n1","lodi","",0]' AS BLOB));
INSERT INTO board VALUES ('homes/w/coordinator', 12, CAST('[7,"bbbbbbbbbbbb",1,[1,2]]' AS BLOB));
INSERT INTO board VALUES ('shares/r/n1', 16, CAST('[6,{"3b4d60021":12.5,"3b4d60022":0.25}]' AS BLOB));
INSERT INTO board VALUES ('shares/w/n1', 15, CAST('[1,"dddddddddddd",0,[]]' AS BLOB));
INSERT INTO board_about VALUES (1, 1, 16);
